//! The poll loop of candidates: reads the rows of shards for which this instance is among the first
//! in rendezvous order, and acquires those without a live holder.

use std::collections::BTreeSet;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::watch;

use crate::clock::{Clock, Instant};
use crate::lease::leases::CLOCK_MARGIN_MS;
use crate::lease::observed_row::ObservedRow;
use crate::lease::{LeaseRow, Leases, Witnesses};
use crate::peer::Member;
use crate::store::{Row, Table};
use crate::units::ShardId;

/// Wait before a missing row is created, so that instances that start together discover each other
/// and the shards spread over them.
const MISSING_ROW_WAIT_MS: u64 = 1500;
const MISSING_ROW_RANK_WAIT_MS: u64 = 500;

/// Interval of reads while a handover to this instance is awaited.
const HANDOVER_POLL_MS: u64 = 50;

/// Additional wait for each rank, which lets the first candidate take over first. Two such waits,
/// the wait for the unchanged row, the next read and the calls fit in 5 s.
const TAKEOVER_RANK_WAIT_MS: u64 = 200;

impl<T: Table, W: Witnesses, C: Clock> Leases<T, W, C> {
    pub(super) async fn poll_loop(&self, shards: &watch::Receiver<Vec<ShardId>>) {
        loop {
            let listed: Vec<ShardId> = shards.borrow().clone();
            self.drop_unlisted(&listed);
            let shards_to_poll = self.shards_to_poll(&listed);
            self.poll(&shards_to_poll).await;
            tokio::select! {
                () = tokio::time::sleep(self.time_to_next_poll(&shards_to_poll)) => {}
                () = self.wake_poll.notified() => {}
            }
        }
    }

    /// Shards to read, each with the rank of this instance.
    fn shards_to_poll(&self, listed: &[ShardId]) -> Vec<(ShardId, u64)> {
        self.refresh_members();
        let now = self.now();
        self.state.borrow_mut().expected_handovers.retain(|_, until| now < *until);
        let mut shards_to_poll = Vec::new();
        for shard in listed {
            let order = self.order(shard);
            let rank = order.top_ranked.iter().position(|m| m.instance == self.local().instance);
            let is_addressed = self.is_named_holder(shard) || self.is_handover_expected(shard);
            // A leaving instance has no rank, but must still pass on a shard that was handed to it.
            let Some(rank) = rank.or(is_addressed.then_some(self.settings.candidates)) else {
                continue;
            };
            let is_candidate = rank < self.settings.candidates || is_addressed;
            let state = self.state.borrow();
            if is_candidate && !state.is_busy(shard, self.now()) {
                shards_to_poll.push((shard.clone(), rank.min(self.settings.candidates) as u64));
            }
        }
        let kept: BTreeSet<&ShardId> = shards_to_poll.iter().map(|(shard, _)| shard).collect();
        let listed: BTreeSet<&ShardId> = listed.iter().collect();
        let mut state = self.state.borrow_mut();
        state.observed.retain(|shard, _| kept.contains(shard));
        state.ranking.retain(|shard| listed.contains(shard));
        drop(state);
        shards_to_poll
    }

    /// Whether this instance is the known holder, which a handover can cause even if it is not a
    /// candidate.
    fn is_named_holder(&self, shard: &ShardId) -> bool {
        self.holding(shard).is_some_and(|h| {
            h.holder == self.local().instance && h.incarnation == self.local().incarnation
        })
    }

    fn is_handover_expected(&self, shard: &ShardId) -> bool {
        self.state.borrow().expected_handovers.contains_key(shard)
    }

    fn drop_unlisted(&self, listed: &[ShardId]) {
        let listed: BTreeSet<&ShardId> = listed.iter().collect();
        let held: Vec<ShardId> = self.state.borrow().leases.keys().cloned().collect();
        for shard in held.iter().filter(|shard| !listed.contains(shard)) {
            self.drop_lease(shard, "the shard is no longer in use");
        }
    }

    async fn poll(&self, shards_to_poll: &[(ShardId, u64)]) {
        if shards_to_poll.is_empty() {
            return;
        }
        let keys: Vec<String> =
            shards_to_poll.iter().map(|(shard, _)| LeaseRow::key(shard)).collect();
        let Ok(rows) = self.read(&keys).await else { return };
        let now = self.now();
        for ((shard, _), row) in shards_to_poll.iter().zip(rows) {
            self.observe(shard, row, now);
        }
        join_all(shards_to_poll.iter().map(|(shard, rank)| self.handle_row(shard, *rank, now)))
            .await;
    }

    fn observe(&self, shard: &ShardId, row: Option<Row>, now: Instant) {
        let revision = row.as_ref().map(|row| row.revision);
        let mut state = self.state.borrow_mut();
        if state.observed.get(shard).is_some_and(|known| known.revision == revision) {
            return;
        }
        let row = row.and_then(|row| {
            let decoded = LeaseRow::decode(&row.value);
            if decoded.is_none() {
                log::error!(target: "lease", "lease row of {shard} is malformed");
            }
            decoded
        });
        let holding = row.as_ref().map(|row| row.holding(shard));
        let attempts = state.observed.remove(shard).map(|known| known.attempts).unwrap_or_default();
        let observed = ObservedRow { revision, row, first_seen: now, attempts };
        state.observed.insert(shard.clone(), observed);
        drop(state);
        if let Some(holding) = holding {
            self.record_holding(holding);
        }
    }

    async fn handle_row(&self, shard: &ShardId, rank: u64, now: Instant) {
        let Some(observation) = self.observation(shard, now) else { return };
        let is_due = self.due_at(&observation, rank) <= now;
        match (&observation.row, observation.revision) {
            (Some(row), Some(revision)) if row.is_held_by(self.local()) => {
                self.regain(shard, row, revision, &observation).await;
            }
            (Some(row), Some(revision)) if is_due => self.take_over(shard, row, revision).await,
            (None, None) if is_due => self.acquire(shard).await,
            _ => {}
        }
    }

    fn observation(&self, shard: &ShardId, now: Instant) -> Option<ObservedRow> {
        let state = self.state.borrow();
        state.observed.get(shard).filter(|_| !state.is_busy(shard, now)).cloned()
    }

    fn due_at(&self, observation: &ObservedRow, rank: u64) -> Instant {
        match observation.revision {
            Some(_) => observation
                .first_seen
                .plus_ms(self.settings.ttl_ms + CLOCK_MARGIN_MS + rank * TAKEOVER_RANK_WAIT_MS),
            None => observation
                .first_seen
                .plus_ms(MISSING_ROW_WAIT_MS + rank * MISSING_ROW_RANK_WAIT_MS),
        }
    }

    /// Time to the next poll, or to when the first row is due if that is earlier.
    fn time_to_next_poll(&self, shards_to_poll: &[(ShardId, u64)]) -> Duration {
        let now = self.now();
        let state = self.state.borrow();
        let is_expecting = state.expected_handovers.keys().any(|shard| !state.is_busy(shard, now));
        let poll_ms = if is_expecting { HANDOVER_POLL_MS } else { self.settings.poll_ms };
        let regular = now.plus_ms(poll_ms);
        let due = shards_to_poll.iter().filter_map(|(shard, rank)| {
            let observation = state.observed.get(shard)?;
            Some(self.due_at(observation, *rank)).filter(|due| *due > now)
        });
        due.min().unwrap_or(regular).min(regular).remaining(now)
    }

    /// Other live instances that may hold the shard, in rendezvous order. Instances that recently
    /// let a lease lapse come last.
    pub fn successors(&self, shard: &ShardId) -> Vec<Member> {
        self.refresh_members();
        let mut successors = self.order(shard).top_ranked.clone();
        successors.retain(|m| m.instance != self.local().instance);
        successors.sort_by_key(|m| self.has_recent_lapse(m));
        successors
    }
}
