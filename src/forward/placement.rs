//! Admits generations to engines: lets them wait while all engines are full.

use std::rc::Rc;
use std::time::Duration;

use crate::admission::{FillQuery, fill_limit};
use crate::balance::{PlacementError, WaitingRequest};
use crate::catalog::RowDecoder;
use crate::clock::{Clock, Instant};
use crate::forward::admission_log::RefusalReason;
use crate::forward::plan::Plan;
use crate::forward::request_context::RequestContext;
use crate::forward::{Codec, Forwarder, Refusal};
use crate::units::ZoneId;

/// Maximum time that a request waits for an engine. Callers abandon a stream that has not begun
/// after four times its target latency, 3.6 s on current deployments.
const MAX_QUEUE_MS: u64 = 1_500;
/// The same for a stream that is resumed at another engine, measured from its failure.
const MAX_RESUME_QUEUE_MS: u64 = 1_200;
/// Fraction of a decode engine's memory that is deliberately filled, and the lower fraction up to
/// which requests are placed that already miss their target latency. The difference is left for
/// requests that can still meet it.
const FILL_FRACTION: f64 = 1.1;
const LATE_FILL_FRACTION: f64 = 0.9;
/// Interval at which a queued request checks the engines.
const QUEUE_POLL_MS: u64 = 30;
/// Typical time from the placement of a request to its first event.
const TYPICAL_FIRST_EVENT_MS: u64 = 350;

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Selects engines for a generation and reserves memory at the decode engine. While all engines
    /// are full, the request waits in the queue for as long as the response can still be in time.
    pub(super) async fn place(
        &self,
        context: &mut RequestContext<C>,
        source_zone: Option<&ZoneId>,
    ) -> Result<Plan<K, C>, Refusal> {
        let wait_queue = self.wait_queue(&context.service.id);
        let arrived_at = context.log.started_at;
        let now = self.parts.clock.now();
        let queue_until = if context.runs > 0 {
            now.plus_ms(MAX_RESUME_QUEUE_MS)
        } else {
            arrived_at.plus_ms(MAX_QUEUE_MS)
        };
        let queue_until = queue_until.min(context.deadline);
        let rank = context.rank.unwrap_or_default();
        let expected_wait_ms = wait_queue.expected_wait_ms(rank, now);
        if source_zone.is_none() && expected_wait_ms > queue_until.ms_since(now) {
            self.record_refusal(context, RefusalReason::Infeasible, expected_wait_ms);
            return Err(self.capacity_refusal(context));
        }
        let target_ms = context.route.target_latency_ms.saturating_sub(TYPICAL_FIRST_EVENT_MS);
        let due_at = arrived_at.plus_ms(target_ms);
        let waiting = WaitingRequest {
            rank,
            organisation: context.share(),
            memory_tokens: context.memory_estimate().expected_tokens,
            due_at,
            size_penalty_ms: context.queue_penalty_ms(),
        };
        let ticket = wait_queue.enqueue(&waiting, now);
        loop {
            let now = self.parts.clock.now();
            if ticket.is_next(now) || source_zone.is_some() {
                let fill_fraction = self.fill_fraction(context, now > due_at, now);
                if source_zone.is_none() {
                    self.choose_versions(context);
                }
                match self.plan(context, source_zone, fill_fraction, now) {
                    Ok(plan) => {
                        if let Some(plan) = self.reserve_plan(context, plan).await {
                            ticket.record_placement(now);
                            self.record_wait(context, now);
                            return Ok(plan);
                        }
                        continue;
                    }
                    Err(_) if source_zone.is_none() && self.leave_new_version(context) => continue,
                    Err(
                        error @ (PlacementError::NoEndpoint | PlacementError::AllPaused { .. }),
                    ) => {
                        return Err(self.placement_refusal(context, error));
                    }
                    Err(PlacementError::AllAvoided { .. } | PlacementError::AllFull) => {}
                }
            }
            if now >= queue_until {
                let expected_wait_ms = wait_queue.expected_wait_ms(rank, now);
                self.record_refusal(context, RefusalReason::Full, expected_wait_ms);
                return Err(self.capacity_refusal(context));
            }
            let pause = Duration::from_millis(QUEUE_POLL_MS);
            // A request that leaves the queue wakes the others. Memory freed by requests of peers
            // causes no wakeup, so it is found by polling.
            let _ = tokio::time::timeout(pause, wait_queue.dequeued()).await;
        }
    }

    /// Returns the fraction of an engine's memory up to which the request may be placed.
    fn fill_fraction(&self, context: &RequestContext<C>, is_late: bool, now: Instant) -> f64 {
        let max_fill = if is_late { LATE_FILL_FRACTION } else { FILL_FRACTION };
        let (Some(rank), Some(engine)) = (context.rank, context.service.engine) else {
            return max_fill;
        };
        let service = &context.service.id;
        let balancer = self.parts.balancer.borrow();
        let pool_tokens = balancer.decode_memory_tokens(service, engine, now);
        let demand = self.demand.borrow().service_demand(service, now);
        fill_limit(&FillQuery { rank, is_late, max_fill, pool_tokens }, &demand)
    }

    /// Reserves the plan's memory at its decode engine; `None` if that fails.
    async fn reserve_plan(
        &self,
        context: &mut RequestContext<C>,
        mut plan: Plan<K, C>,
    ) -> Option<Plan<K, C>> {
        let reserved = self.reserve_memory(context, &plan.decode.endpoint).await;
        if let Ok(Some(memory_reservation)) = reserved {
            plan.memory_reservation = Some(memory_reservation);
            return Some(plan);
        }
        let endpoint = Rc::clone(&plan.decode.endpoint);
        // The load that a rejection is recorded with is that of the other requests.
        drop(plan);
        self.record_reservation_failure(&endpoint, reserved.err().as_ref());
        None
    }
}
