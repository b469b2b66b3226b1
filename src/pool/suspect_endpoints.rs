//! Reserves endpoints for suspects while any are queued.

use std::cmp::Reverse;

use crate::clock::Instant;
use crate::config::Role;
use crate::pool::pool_state::PoolState;
use crate::pool::queue_kind::QueueKind;
use crate::units::EndpointId;

impl PoolState {
    /// At most one in this many accepting endpoints of a role is reserved, and at least one.
    const ACCEPTING_PER_RESERVED: usize = 3;

    /// While suspects are queued, reserves some endpoints of each role, so that the attempts
    /// running there are ruled out as the cause of a crash and no others join. An endpoint under
    /// load would otherwise always have an attempt that has just started.
    pub(super) fn update_suspect_endpoints(&mut self, now: Instant) {
        if self.queues[QueueKind::Suspects as usize].is_empty() {
            return self.suspect_only.clear();
        }
        let suspect_only =
            [Role::Prefill, Role::Decode].map(|role| self.select_suspect_endpoints(role, now));
        self.suspect_only = suspect_only.into_iter().flatten().collect();
    }

    fn select_suspect_endpoints(&self, role: Role, now: Instant) -> Vec<EndpointId> {
        let queue = &self.queues[QueueKind::Suspects as usize];
        let waiting = queue.len();
        let is_usable = |id| queue.candidates(now).any(|w| !w.admission.avoid.contains(id));
        let ready = self.endpoints.iter().filter(|(_, e)| e.accepts_work_as(role));
        let mut ready: Vec<_> = ready.filter(|(id, _)| is_usable(id)).collect();
        let max_reserved = (ready.len() / Self::ACCEPTING_PER_RESERVED).max(1);
        // Prefer endpoints that are already reserved, since no new attempt has started there.
        ready.sort_by_key(|(id, e)| (Reverse(self.suspect_only.contains(*id)), e.unproven_count()));
        ready.into_iter().take(waiting.min(max_reserved)).map(|(id, _)| id.clone()).collect()
    }
}
