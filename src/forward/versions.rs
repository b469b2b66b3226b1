//! Versions of a service that a request may go to while one is rolled out.

use metrics::counter;

use crate::balance::IncarnationKey;
use crate::catalog::{Endpoint, RowDecoder};
use crate::clock::Clock;
use crate::forward::request_context::RequestContext;
use crate::forward::{Codec, EndpointError, Forwarder};
use crate::hash::stable_hash;
use crate::rollout::AnswerKind;

/// Sends of a generation that counts against the allowance: its prefill and its decode.
const GENERATION_SENDS: u64 = 2;

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Chooses the versions for the next attempt, unless the choice made before still holds. Only
    /// the first choice may name a version under observation.
    pub(super) fn choose_versions(&self, context: &mut RequestContext<C>) {
        let now = self.parts.clock.now();
        let service = &context.service.id;
        let mut rollouts = self.parts.rollouts.borrow_mut();
        let sends = if context.service.engine.is_some() { GENERATION_SENDS } else { 1 };
        let is_first = context.versions.is_none();
        if let Some(choice) = &context.versions {
            if context.runs == 0
                && context.excluded.is_empty()
                && rollouts.is_current(service, choice, now)
            {
                return;
            }
            // Sends that were made stay counted.
            if context.runs == 0 && context.excluded.is_empty() {
                rollouts.give_back(service, choice.taken_sends);
            }
        }
        context.versions = Some(rollouts.choose(service, is_first, sends, now));
    }

    /// Chooses other versions after none of the chosen ones has room. Returns false if the request
    /// did not use the allowance of a version under observation.
    pub(super) fn leave_new_version(&self, context: &mut RequestContext<C>) -> bool {
        let Some(choice) = context.versions.as_ref().filter(|choice| choice.taken_sends > 0) else {
            return false;
        };
        let service = &context.service.id;
        let mut rollouts = self.parts.rollouts.borrow_mut();
        rollouts.give_back(service, choice.taken_sends);
        let now = self.parts.clock.now();
        context.versions = Some(rollouts.choose(service, false, 0, now));
        true
    }

    /// Whether the versions that were chosen for a request still hold.
    pub(super) fn are_versions_current(&self, context: &RequestContext<C>) -> bool {
        let now = self.parts.clock.now();
        let rollouts = self.parts.rollouts.borrow();
        let choice = context.versions.as_ref();
        choice.is_none_or(|choice| rollouts.is_current(&context.service.id, choice, now))
    }

    /// Counts an answer for the roll-out of the service.
    pub(super) fn record_version_answer(
        &self,
        context: &RequestContext<C>,
        endpoint: &Endpoint,
        kind: AnswerKind,
    ) {
        let service = &context.service.id;
        let mut rollouts = self.parts.rollouts.borrow_mut();
        if rollouts.rollout(service).is_none() {
            return;
        }
        // A cold endpoint is slow whatever its version is.
        let kind = match kind {
            AnswerKind::Good { .. } if self.parts.clock.now() < endpoint.cold_until => {
                AnswerKind::Good { latency_ms: None }
            }
            kind => kind,
        };
        let route = Self::route_key(context);
        let key = IncarnationKey::new(endpoint).endpoint_key;
        rollouts.record_answer(service, &endpoint.version, route, kind, key);
        let result = if kind == AnswerKind::Bad { "bad" } else { "good" };
        counter!("almondroad_node_rollout_answers_total", "service" => service.to_string(),
            "version" => endpoint.version.to_string(), "result" => result)
        .increment(1);
    }

    /// Counts a failed attempt, unless the endpoint did not run the request.
    pub(super) fn record_version_failure(
        &self,
        context: &RequestContext<C>,
        endpoint: &Endpoint,
        error: &EndpointError,
    ) {
        if !error.is_not_run() {
            self.record_version_answer(context, endpoint, AnswerKind::Bad);
        }
    }

    /// Identifies the request's route in reports. Small values have a meaning of their own.
    fn route_key(context: &RequestContext<C>) -> u32 {
        (stable_hash(context.route.id.as_str()) as u32) | 2
    }
}
