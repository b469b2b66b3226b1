//! Rebalancing: moves shards to the first instance in rendezvous order, so that load spreads to
//! instances that join.

use std::time::Duration;

use crate::clock::Clock;
use crate::lease::{Leases, Witness, Witnesses};
use crate::peer::Member;
use crate::store::Table;
use crate::units::ShardId;

/// How long an instance must have been first in rendezvous order before shards move to it.
const MIN_PREFERRED_MS: u64 = 5000;

/// Each handover leaves the shard without a holder for up to a poll interval, so only few shards
/// move at a time.
const MAX_MOVES_PER_ROUND: usize = 2;

/// How long no shard moves to an instance that let a lease lapse.
const LAPSE_BACKOFF_MS: u64 = 60_000;

/// Limit on the transfer of a shard's state.
const STATE_TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

impl<T: Table, W: Witnesses, C: Clock> Leases<T, W, C> {
    pub(super) async fn rebalance_loop(&self) {
        let mut tick = tokio::time::interval(Duration::from_millis(self.settings.renew_ms));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            for (shard, to) in self.plan_moves() {
                self.move_to(&shard, &to).await;
            }
        }
    }

    pub(super) fn has_recent_lapse(&self, member: &Member) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let failed = state.lapsed_holders.get(&Witness::of(member));
        failed.is_some_and(|at| now < at.plus_ms(LAPSE_BACKOFF_MS))
    }

    fn plan_moves(&self) -> Vec<(ShardId, Member)> {
        if self.is_leaving.get() {
            return Vec::new();
        }
        let now = self.now();
        self.state.borrow_mut().lapsed_holders.retain(|_, at| now < at.plus_ms(LAPSE_BACKOFF_MS));
        self.refresh_members();
        let held: Vec<ShardId> = self.state.borrow().leases.keys().cloned().collect();
        let mut moves = Vec::new();
        for shard in held {
            let first = self.preferred(&shard);
            let mut state = self.state.borrow_mut();
            let Some(lease) = state.leases.get_mut(&shard) else { continue };
            let is_same = |known: &Member, first: &Member| Witness::of(known) == Witness::of(first);
            lease.preferred = match (lease.preferred.take(), first) {
                (Some((known, since)), Some(first)) if is_same(&known, &first) => {
                    Some((first, since))
                }
                (_, first) => first.map(|first| (first, now)),
            };
            // While the table is unavailable, a handover would leave the shard without a holder.
            let is_stored = now < lease.last_stored.plus_ms(2 * self.settings.renew_ms);
            if let Some((first, since)) = &lease.preferred
                && since.plus_ms(MIN_PREFERRED_MS) <= now
                && is_stored
            {
                moves.push((shard, first.clone()));
            }
        }
        moves.truncate(MAX_MOVES_PER_ROUND);
        moves
    }

    /// The first member in rendezvous order without a recent lapse, if it is another instance.
    fn preferred(&self, shard: &ShardId) -> Option<Member> {
        let order = self.order(shard);
        let first = order.top_ranked.iter().find(|m| !self.has_recent_lapse(m))?;
        (first.instance != self.local().instance).then(|| first.clone())
    }

    async fn move_to(&self, shard: &ShardId, to: &Member) {
        if let Some(send) = &self.settings.state_sender {
            let sent =
                tokio::time::timeout(STATE_TRANSFER_TIMEOUT, send(shard.clone(), to.clone())).await;
            if sent.is_err() {
                self.abandon(shard);
            }
            if sent != Ok(true) {
                log::warn!(target: "lease", "{shard} not moved: {} did not accept its state", to.instance);
                return;
            }
        }
        let outcome = self.hand_over(shard, to).await;
        match outcome {
            Ok(()) => log::info!(target: "lease", "moved {shard} to {}", to.instance),
            Err(error) => log::warn!(target: "lease", "{shard} not moved: {error}"),
        }
    }
}
