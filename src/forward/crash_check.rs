//! Refusal of requests under which endpoints have ended.

use crate::catalog::RowDecoder;
use crate::clock::Clock;
use crate::crashes::PartKey;
use crate::forward::request_context::RequestContext;
use crate::forward::{CallerRequest, Codec, CrashCounts, Forwarder, Refusal};
use crate::units::ServiceId;

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Refuses a request if endpoints have ended under it, or under parts that its prompt has.
    pub(super) fn refuse_crashing(
        &self,
        service: &ServiceId,
        request: &CallerRequest,
    ) -> Result<(), Refusal> {
        let now = self.parts.clock.now();
        let crashes = self.parts.crashes.borrow();
        let request_until = if crashes.is_empty() {
            None
        } else {
            crashes.refused_until(CrashCounts::fingerprint(request), now)
        };
        let crashing_parts = self.parts.crashing_parts.borrow();
        let parts_until = if crashing_parts.is_empty() {
            None
        } else {
            crashing_parts.refused_until(part_keys(service, request), now)
        };
        match request_until.max(parts_until) {
            Some(until) => Err(Refusal::CrashesEndpoints { retry_after_ms: until.ms_since(now) }),
            None => Ok(()),
        }
    }

    /// Records that an endpoint has begun the answer to a request.
    pub(super) fn record_begun(&self, context: &RequestContext<C>) {
        let now = self.parts.clock.now();
        let mut crashes = self.parts.crashes.borrow_mut();
        if !crashes.is_empty() {
            crashes.record_begun(CrashCounts::fingerprint(&context.request), now);
        }
        let mut crashing_parts = self.parts.crashing_parts.borrow_mut();
        if !crashing_parts.is_empty() {
            let parts = part_keys(&context.service.id, &context.request);
            crashing_parts.record_begun(parts, now);
        }
    }

    /// Refuses a request if it has become known since its arrival that endpoints end under it.
    pub(super) fn refuse_if_crashing(&self, context: &RequestContext<C>) -> Result<(), Refusal> {
        let checked = self.refuse_crashing(&context.service.id, &context.request);
        checked.map_err(|refusal| if context.runs > 0 { Refusal::ResponseLost } else { refusal })
    }
}

/// Returns the parts of a request's prompt that other requests of the service may have too.
pub(super) fn part_keys(
    service: &ServiceId,
    request: &CallerRequest,
) -> impl Iterator<Item = PartKey> + Clone {
    let parts = request.generation.iter().flat_map(|generation| &generation.shared_parts);
    PartKey::all(service, parts)
}
