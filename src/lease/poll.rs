//! The candidate's loop: reads the rows of shards for which this instance is among the first in
//! rendezvous order, and acts on those without a live holder.

use std::collections::BTreeSet;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::watch;

use crate::clock::{Clock, Instant};
use crate::lease::leases::MARGIN_MS;
use crate::lease::observed::Observed;
use crate::lease::{LeaseRow, Leases, Witnesses};
use crate::peer::Member;
use crate::store::{Row, Table};
use crate::units::ShardId;

/// A row that does not exist is left alone for this time, so that instances that start together
/// know each other first and shards spread over them.
const ABSENT_WAIT_MS: u64 = 1500;
const ABSENT_RANK_WAIT_MS: u64 = 500;

/// Interval of reads while a handover to this instance is awaited.
const EXPECTED_POLL_MS: u64 = 50;

/// Gives the first candidate a head start. Two such waits, the wait for the unchanged row, the
/// next read and the calls fit in 5 s.
const TAKEOVER_RANK_WAIT_MS: u64 = 200;

impl<T: Table, W: Witnesses, C: Clock> Leases<T, W, C> {
    pub(super) async fn poll_loop(&self, shards: &watch::Receiver<Vec<ShardId>>) {
        loop {
            let listed: Vec<ShardId> = shards.borrow().clone();
            self.drop_unlisted(&listed);
            let watched = self.watched(&listed);
            self.poll(&watched).await;
            tokio::select! {
                () = tokio::time::sleep(self.next_poll(&watched)) => {}
                () = self.named.notified() => {}
            }
        }
    }

    /// Shards to read, with this instance's rank.
    fn watched(&self, listed: &[ShardId]) -> Vec<(ShardId, u64)> {
        self.refresh_members();
        let now = self.now();
        self.state.borrow_mut().expected.retain(|_, until| now < *until);
        let mut watched = Vec::new();
        for shard in listed {
            let order = self.order(shard);
            let rank = order.first.iter().position(|m| m.instance == self.own().instance);
            let is_called = self.is_named(shard) || self.is_expected(shard);
            // An instance that is leaving has no rank, but must pass on what was handed to it.
            let Some(rank) = rank.or(is_called.then_some(self.settings.candidates)) else {
                continue;
            };
            let is_candidate = rank < self.settings.candidates || is_called;
            let state = self.state.borrow();
            if is_candidate && !state.is_busy(shard, self.now()) {
                watched.push((shard.clone(), rank.min(self.settings.candidates) as u64));
            }
        }
        let kept: BTreeSet<&ShardId> = watched.iter().map(|(shard, _)| shard).collect();
        let listed: BTreeSet<&ShardId> = listed.iter().collect();
        let mut state = self.state.borrow_mut();
        state.observed.retain(|shard, _| kept.contains(shard));
        state.ranking.retain(|shard| listed.contains(shard));
        drop(state);
        watched
    }

    /// A handover may have made this instance the holder although it is no candidate.
    fn is_named(&self, shard: &ShardId) -> bool {
        self.holding(shard).is_some_and(|h| {
            h.holder == self.own().instance && h.incarnation == self.own().incarnation
        })
    }

    fn is_expected(&self, shard: &ShardId) -> bool {
        self.state.borrow().expected.contains_key(shard)
    }

    fn drop_unlisted(&self, listed: &[ShardId]) {
        let listed: BTreeSet<&ShardId> = listed.iter().collect();
        let held: Vec<ShardId> = self.state.borrow().leases.keys().cloned().collect();
        for shard in held.iter().filter(|shard| !listed.contains(shard)) {
            self.lose(shard, "the shard is no longer in use");
        }
    }

    async fn poll(&self, watched: &[(ShardId, u64)]) {
        if watched.is_empty() {
            return;
        }
        let keys: Vec<String> = watched.iter().map(|(shard, _)| LeaseRow::key(shard)).collect();
        let Ok(rows) = self.read(&keys).await else { return };
        let now = self.now();
        for ((shard, _), row) in watched.iter().zip(rows) {
            self.observe(shard, row, now);
        }
        join_all(watched.iter().map(|(shard, rank)| self.act(shard, *rank, now))).await;
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
                log::error!(target: "lease", "the row of {shard} is malformed");
            }
            decoded
        });
        let holding = row.as_ref().map(|row| row.holding(shard));
        let attempts = state.observed.remove(shard).map(|known| known.attempts).unwrap_or_default();
        let observed = Observed { revision, row, first_seen: now, attempts };
        state.observed.insert(shard.clone(), observed);
        drop(state);
        if let Some(holding) = holding {
            self.record_holding(holding);
        }
    }

    async fn act(&self, shard: &ShardId, rank: u64, now: Instant) {
        let Some(seen) = self.seen(shard, now) else { return };
        let is_due = self.due(&seen, rank) <= now;
        match (&seen.row, seen.revision) {
            (Some(row), Some(revision)) if row.is_held_by(self.own()) => {
                self.regain(shard, row, revision, &seen).await;
            }
            (Some(row), Some(revision)) if is_due => self.take_over(shard, row, revision).await,
            (None, None) if is_due => self.acquire(shard).await,
            _ => {}
        }
    }

    fn seen(&self, shard: &ShardId, now: Instant) -> Option<Observed> {
        let state = self.state.borrow();
        state.observed.get(shard).filter(|_| !state.is_busy(shard, now)).cloned()
    }

    fn due(&self, seen: &Observed, rank: u64) -> Instant {
        match seen.revision {
            Some(_) => seen
                .first_seen
                .plus_ms(self.settings.ttl_ms + MARGIN_MS + rank * TAKEOVER_RANK_WAIT_MS),
            None => seen.first_seen.plus_ms(ABSENT_WAIT_MS + rank * ABSENT_RANK_WAIT_MS),
        }
    }

    /// Until the next poll, or until the first row is due if that comes before.
    fn next_poll(&self, watched: &[(ShardId, u64)]) -> Duration {
        let now = self.now();
        let state = self.state.borrow();
        let is_expecting = state.expected.keys().any(|shard| !state.is_busy(shard, now));
        let poll_ms = if is_expecting { EXPECTED_POLL_MS } else { self.settings.poll_ms };
        let regular = now.plus_ms(poll_ms);
        let due = watched.iter().filter_map(|(shard, rank)| {
            let seen = state.observed.get(shard)?;
            Some(self.due(seen, *rank)).filter(|due| *due > now)
        });
        due.min().unwrap_or(regular).min(regular).remaining(now)
    }

    /// Other live instances that may hold the shard, in rendezvous order. Instances that recently
    /// let a lease lapse come last.
    pub fn successors(&self, shard: &ShardId) -> Vec<Member> {
        self.refresh_members();
        let mut successors = self.order(shard).first.clone();
        successors.retain(|m| m.instance != self.own().instance);
        successors.sort_by_key(|m| self.has_failed(m));
        successors
    }
}
