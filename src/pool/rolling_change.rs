//! Changes the endpoints of a pool to the configured role, model and adapters, a few at a time.

use smol_str::{SmolStr, format_smolstr};

use crate::clock::Instant;
use crate::config::Role;
use crate::engine::{EngineState, Order};
use crate::pool::endpoint_change::EndpointChange;
use crate::pool::endpoint_state::{EndpointState, Health};
use crate::pool::pool_state::PoolState;
use crate::units::{AttemptId, EndpointId};

/// Actions that the owner has to take to advance the pool's changes.
#[derive(Debug, Default)]
pub(crate) struct ChangeActions {
    /// Drained endpoints with their next order and the number of bytes that it reads from the
    /// weight store.
    pub orders: Vec<(EndpointId, Order, u64)>,
    /// Attempts that did not end before the drain deadline.
    pub cancels: Vec<(EndpointId, AttemptId)>,
}

impl PoolState {
    /// One in this many endpoints may be unavailable at a time, and at least one.
    const UNAVAILABLE_DIVISOR: usize = 10;
    /// A changed endpoint counts as unavailable until it is warm, but no longer than this, because
    /// an endpoint without load stays cold.
    pub(super) const SETTLE_MS: u64 = 3000;
    /// Time within which the engine's state shows the effect of an order.
    const RESEND_MS: u64 = 1000;
    /// Time before a rejected order is sent again.
    const REFUSED_MS: u64 = 5000;

    /// Records the state that an engine reported in response to a request sent at `sent_at`.
    pub fn record_state(&mut self, id: &EndpointId, state: EngineState, sent_at: Instant) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let has_role = state.roles.contains(&endpoint.entry.role);
        let reported_role = state.roles.first().copied();
        endpoint.record_state(state, sent_at);
        if let (false, Some(role)) = (has_role, reported_role) {
            endpoint.switch_role(role);
            self.prefixes.forget_endpoint(id);
        }
    }

    /// Ends, continues and starts changes. Starts none before `begin_after`, because an order of
    /// the previous owner may still take effect until then.
    pub fn advance_changes(&mut self, now: Instant, begin_after: Instant) -> ChangeActions {
        self.end_changes(now);
        let mut work = ChangeActions::default();
        let changing = self.endpoints.iter().filter(|(_, e)| e.change.is_some());
        let changing: Vec<EndpointId> = changing.map(|(id, _)| id.clone()).collect();
        for id in changing {
            if self.is_drained(&id, now) {
                work.orders.extend(self.due_order(&id, now));
            } else {
                self.cancel_overdue_attempts(&id, now, &mut work);
            }
        }
        self.begin_changes(now, begin_after);
        work
    }

    fn end_changes(&mut self, now: Instant) {
        let mut ended = Vec::new();
        for (id, endpoint) in &mut self.endpoints {
            let is_loading = endpoint.reported.as_ref().is_some_and(|r| r.loading.is_some());
            if is_loading && endpoint.change.is_none() {
                // The previous owner started this change.
                endpoint.change = Some(EndpointChange::new(true, now));
            }
            let is_settled = endpoint.reported.is_some() && !endpoint.needs_change();
            if endpoint.change.is_some() && is_settled && !is_loading {
                endpoint.end_change(now.plus_ms(PoolState::SETTLE_MS));
                ended.push(id.clone());
            }
        }
        for id in ended {
            log::info!(target: "pool", "endpoint {id} has reached its configured state");
            self.prefixes.forget_endpoint(&id);
        }
    }

    /// Whether no attempt runs or can still start on an endpoint that gets no new work.
    fn is_drained(&self, id: &EndpointId, now: Instant) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else { return false };
        let Some(change) = &endpoint.change else { return false };
        let is_reserved = self.reservations.values().any(|reservation| reservation.runs_on(id));
        now >= self.no_release_before
            && !is_reserved
            && endpoint.occupancy.used_slots() == 0
            && endpoint.empty_at.is_some_and(|at| at >= change.begun_at)
    }

    /// Returns the next order of a drained endpoint, once the engine's state reflects the previous
    /// one.
    fn due_order(&mut self, id: &EndpointId, now: Instant) -> Option<(EndpointId, Order, u64)> {
        let endpoint = self.endpoints.get_mut(id)?;
        let (reported, change) = (endpoint.reported.as_ref()?, endpoint.change.as_ref()?);
        let is_report_current = change.ordered_at.is_none_or(|at| endpoint.reported_at > at);
        if endpoint.health != Health::Up
            || reported.loading.is_some()
            || !is_report_current
            || now < change.next_order_at
        {
            return None;
        }
        let Some(order) = endpoint.target_state.next_order(reported) else {
            // An engine that supports both roles needs only the drain, not an order.
            endpoint.switch_role(endpoint.target_state.role);
            return None;
        };
        let bytes = endpoint.target_state.bytes_of(&order);
        Some((id.clone(), order, bytes))
    }

    /// Cancels the attempts that are still running after the drain deadline.
    fn cancel_overdue_attempts(&mut self, id: &EndpointId, now: Instant, work: &mut ChangeActions) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        if endpoint.change.as_ref().is_none_or(|change| now < change.drain_deadline) {
            return;
        }
        let runs_here = self.reservations.iter().filter(|(_, reservation)| reservation.runs_on(id));
        let left: Vec<AttemptId> = runs_here.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in left {
            log::info!(target: "pool", "cancelling attempt {attempt} on {id}: drain timed out");
            self.release(&attempt);
            self.ended.insert(attempt.clone(), now);
            work.cancels.push((id.clone(), attempt));
        }
    }

    fn begin_changes(&mut self, now: Instant, begin_after: Instant) {
        for id in self.change_order() {
            let reason = if now < begin_after {
                Some("previous owner's orders".into())
            } else {
                self.blocking_reason(&id, now)
            };
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            if reason.is_none() {
                log::info!(target: "pool", "draining endpoint {id} for a change");
                endpoint.change = Some(EndpointChange::new(endpoint.accepts_work(), now));
            }
            endpoint.waits_for = reason;
        }
    }

    /// Returns the endpoints to change in a stable order that keeps a pair of both roles available
    /// on the old or the new revision. The role with the larger share left to change goes first.
    /// The last endpoint of a role waits until the other role has only one left.
    fn change_order(&self) -> Vec<EndpointId> {
        let is_waiting = |e: &EndpointState| {
            e.change.is_none() && e.health == Health::Up && e.reported.is_some() && e.needs_change()
        };
        let count = |role: Role, only_waiting: bool| {
            let of_role = self.endpoints.values().filter(|e| e.entry.role == role);
            of_role.filter(|e| !only_waiting || is_waiting(e)).count()
        };
        let left = |role| count(role, true);
        let share_left = |role| left(role) as f64 / count(role, false).max(1) as f64;
        let is_before = |role: Role, other: Role| {
            let is_last = left(role) == 1 && left(other) > 1;
            (is_last, 1.0 - share_left(role))
        };
        let rank = |role: Role| match role {
            Role::Prefill => is_before(Role::Prefill, Role::Decode),
            Role::Decode => is_before(Role::Decode, Role::Prefill),
        };
        let mut waiting: Vec<(&EndpointId, &EndpointState)> =
            self.endpoints.iter().filter(|(_, e)| is_waiting(e)).collect();
        waiting.sort_by(|(a_id, a), (b_id, b)| {
            let (a_rank, b_rank) = (rank(a.entry.role), rank(b.entry.role));
            let by_share = a_rank.1.total_cmp(&b_rank.1);
            let by_role = a.entry.role.cmp(&b.entry.role);
            a_rank.0.cmp(&b_rank.0).then(by_share).then(by_role).then(a_id.cmp(b_id))
        });
        waiting.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns why an endpoint cannot be taken out of the pool now.
    fn blocking_reason(&self, id: &EndpointId, now: Instant) -> Option<SmolStr> {
        let endpoint = self.endpoints.get(id)?;
        if !endpoint.accepts_work() {
            return None;
        }
        let in_service = self.endpoints.values().filter(|e| e.in_service);
        let limit = (in_service.count() / PoolState::UNAVAILABLE_DIVISOR).max(1);
        let unavailable: Vec<&EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, e)| e.is_unavailable(now))
            .map(|(id, _)| id)
            .collect();
        if unavailable.len() >= limit {
            let names: Vec<&str> = unavailable.iter().map(|id| id.as_str()).collect();
            return Some(format_smolstr!("{}", names.join(" ")));
        }
        if !self.can_serve_without(id) {
            return Some(format_smolstr!("another {} endpoint", endpoint.entry.role));
        }
        // Another endpoint of the new revision is useless until one of the other role has that
        // revision too.
        let is_paired = endpoint.has_partner(self.endpoints.values());
        let unpaired = self.endpoints.iter().find(|(other, e)| {
            *other != id
                && e.accepts_work()
                && e.entry.role == endpoint.target_state.role
                && !e.has_partner(self.endpoints.values())
        });
        let (unpaired, _) = unpaired.filter(|_| is_paired)?;
        Some(format_smolstr!("a partner of {unpaired}"))
    }

    /// Whether the other endpoints include an accepting pair of both roles with the same revision.
    fn can_serve_without(&self, id: &EndpointId) -> bool {
        let others = || self.endpoints.iter().filter(|(other, _)| *other != id).map(|(_, e)| e);
        others().any(|endpoint| endpoint.accepts_work() && endpoint.has_partner(others()))
    }

    /// Whether the order is still due. The configuration or the engine's state may have changed.
    pub fn is_due(&mut self, id: &EndpointId, order: &Order, now: Instant) -> bool {
        self.is_drained(id, now) && self.due_order(id, now).is_some_and(|(_, due, _)| due == *order)
    }

    pub fn set_waits_for(&mut self, id: &EndpointId, reason: Option<&str>) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.waits_for = reason.map(SmolStr::from);
        }
    }

    /// Records the response to an order. Whether the order took effect is known only from the
    /// engine's state.
    pub fn record_order_result(
        &mut self,
        id: &EndpointId,
        failure: Option<SmolStr>,
        is_refused: bool,
        now: Instant,
    ) {
        let endpoint = self.endpoints.get_mut(id);
        let Some(change) = endpoint.and_then(|e| e.change.as_mut()) else { return };
        let wait_ms = if is_refused { PoolState::REFUSED_MS } else { PoolState::RESEND_MS };
        change.failure = failure;
        change.ordered_at = Some(now);
        change.next_order_at = now.plus_ms(wait_ms);
    }
}
