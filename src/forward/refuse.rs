//! Refusals of requests that cannot be placed.

use rand::Rng;

use crate::admission::{Rank, return_delay_ms};
use crate::balance::PlacementError;
use crate::catalog::{RouteKind, RowDecoder};
use crate::clock::{Clock, Instant};
use crate::forward::request_context::RequestContext;
use crate::forward::{Codec, Forwarder, Refusal};
use crate::http::record_refused_client;

/// Minimum `Retry-After` for services that do not generate tokens, and the maximum random delay
/// added to it so that callers do not retry at the same time.
pub(super) const MIN_RETRY_AFTER_MS: u64 = 250;
const RETRY_AFTER_SPREAD_MS: u64 = 500;
/// The same for generations. Engines stay full for the duration of a burst, typically some seconds,
/// because every generation occupies its memory for seconds.
const MIN_GENERATION_RETRY_AFTER_MS: u64 = 2_000;
const GENERATION_RETRY_AFTER_SPREAD_MS: u64 = 2_500;
/// Callers follow a `Retry-After` up to this part of the time that they have left.
const FOLLOWED_PART_OF_DEADLINE: u64 = 3;

impl Refusal {
    /// Refuses a request for which there is no memory; it has not run.
    pub(super) fn overloaded(reason: &'static str) -> Refusal {
        record_refused_client(reason);
        let spread_ms = rand::rng().random_range(0..=MIN_RETRY_AFTER_MS);
        Refusal::Overloaded { retry_after_ms: MIN_RETRY_AFTER_MS + spread_ms }
    }
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Returns the refusal of a request that has not run while all endpoints want no requests:
    /// callers return shortly after the first of them accepts requests again.
    pub(super) fn paused_refusal(&self, until: Instant) -> Refusal {
        let pause_ms = until.ms_since(self.parts.clock.now());
        let spread_ms = rand::rng().random_range(0..=MIN_RETRY_AFTER_MS);
        Refusal::NoCapacity { retry_after_ms: pause_ms + spread_ms }
    }

    /// Returns the refusal for a request that cannot be placed.
    pub(super) fn placement_refusal(
        &self,
        context: &RequestContext<C>,
        error: PlacementError,
    ) -> Refusal {
        match error {
            PlacementError::AllPaused { until } if context.runs == 0 => self.paused_refusal(until),
            _ => self.capacity_refusal(context),
        }
    }

    /// Returns a refusal with a randomised retry delay.
    pub(super) fn no_capacity(&self, kind: RouteKind) -> Refusal {
        let (min_ms, spread_ms) = match kind {
            RouteKind::Stream { .. } => {
                (MIN_GENERATION_RETRY_AFTER_MS, GENERATION_RETRY_AFTER_SPREAD_MS)
            }
            _ => (MIN_RETRY_AFTER_MS, RETRY_AFTER_SPREAD_MS),
        };
        let spread_ms = rand::rng().random_range(0..spread_ms);
        Refusal::NoCapacity { retry_after_ms: min_ms + spread_ms }
    }

    /// Returns the refusal for a request whose deadline has passed.
    pub(super) fn deadline_refusal(&self, context: &RequestContext<C>) -> Refusal {
        if context.runs > 0 { Refusal::Timeout } else { Refusal::ExpiredBeforeRun }
    }

    /// Returns the refusal for a request that no endpoint can accept.
    pub(super) fn capacity_refusal(&self, context: &RequestContext<C>) -> Refusal {
        if context.runs > 0 {
            return Refusal::ResponseLost;
        }
        match context.rank {
            Some(rank) if context.request.generation.is_some() => {
                self.ranked_refusal(context, rank)
            }
            _ => self.no_capacity(context.route.kind),
        }
    }

    /// Returns the refusal of a generation: callers return by rank as room comes free.
    fn ranked_refusal(&self, context: &RequestContext<C>, rank: Rank) -> Refusal {
        let now = self.parts.clock.now();
        let demand = self.demand.borrow().service_demand(&context.service.id, now);
        let usual_ms = (MIN_GENERATION_RETRY_AFTER_MS, GENERATION_RETRY_AFTER_SPREAD_MS);
        let max_ms = context.deadline.ms_since(now) / FOLLOWED_PART_OF_DEADLINE;
        let sample = rand::rng().random_range(0.0..1.0);
        let retry_after_ms = return_delay_ms(rank, &demand, usual_ms, max_ms, sample);
        Refusal::NoCapacity { retry_after_ms }
    }
}
