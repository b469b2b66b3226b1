//! Keeps endpoints free of others while suspects wait.

use std::cmp::Reverse;

use crate::clock::Instant;
use crate::config::Role;
use crate::pool::lane::Lane;
use crate::pool::pool_state::PoolState;
use crate::units::EndpointId;

impl PoolState {
    /// At least one of the open endpoints of a role, and at most one in this many, is kept.
    const OPEN_PER_KEPT: usize = 3;

    /// While suspects wait, keeps some endpoints of each role free of new attempts, so that those
    /// which run there pass their proof. Endpoints under load would else never be without one that
    /// has just started.
    pub(super) fn update_kept(&mut self, now: Instant) {
        if self.queues[Lane::Suspects as usize].is_empty() {
            return self.kept.clear();
        }
        let kept = [Role::Prefill, Role::Decode].map(|role| self.keep(role, now));
        self.kept = kept.into_iter().flatten().collect();
    }

    fn keep(&self, role: Role, now: Instant) -> Vec<EndpointId> {
        let queue = &self.queues[Lane::Suspects as usize];
        let waiting = queue.len();
        let is_usable = |id| queue.candidates(now).any(|w| !w.admission.avoid.contains(id));
        let open = self.endpoints.iter().filter(|(_, e)| e.is_open_as(role));
        let mut open: Vec<_> = open.filter(|(id, _)| is_usable(id)).collect();
        let most = (open.len() / Self::OPEN_PER_KEPT).max(1);
        // Those kept already stay, since nothing new has started there.
        open.sort_by_key(|(id, e)| (Reverse(self.kept.contains(*id)), e.unproven()));
        open.into_iter().take(waiting.min(most)).map(|(id, _)| id.clone()).collect()
    }
}
