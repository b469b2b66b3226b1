//! The writes by which this instance becomes the holder. Each raises the fencing number.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::clock::{Clock, Instant};
use crate::lease::leases::CLOCK_MARGIN_MS;
use crate::lease::leases::WITNESS_TIMEOUT_MS;
use crate::lease::observed_row::{ObservedRow, UnansweredAcquisition};
use crate::lease::own_lease::OwnLease;
use crate::lease::votes::Votes;
use crate::lease::{Holding, LeaseRow, Leases, Witness, Witnesses};
use crate::store::{CommitOutcome, StoreError, Table, Transaction};
use crate::units::{FencingToken, ShardId};

impl<T: Table, W: Witnesses, C: Clock> Leases<T, W, C> {
    /// Creates the row of a shard that never had a holder.
    pub(super) async fn acquire(&self, shard: &ShardId) {
        let row = self.acquisition_row(shard, FencingToken(1), &[]);
        self.write_acquisition(shard, row, None, Instant::default()).await;
    }

    /// The row names this instance, which does not hold the lease: the lease lapsed, was handed
    /// over to it, or its write had no answer. No other instance can hold it while the row stays.
    pub(super) async fn regain(
        &self,
        shard: &ShardId,
        row: &LeaseRow,
        revision: u64,
        observation: &ObservedRow,
    ) {
        let own_attempt =
            observation.attempts.iter().find(|unanswered| unanswered.attempt == row.attempt);
        if let Some(own_attempt) = own_attempt
            && self.now() < own_attempt.sent.plus_ms(self.settings.ttl_ms)
        {
            let lease =
                OwnLease::new(row.clone(), revision, own_attempt.sent, self.settings.ttl_ms);
            self.record_acquisition(shard, lease, row, own_attempt.previous_end);
            return;
        }
        // The predecessor already chose a new fencing number for a handover. The state that it
        // sent is known to be the newest only under the number that follows its own.
        let own = self.local();
        let is_own_write =
            row.attempt.instance == own.instance && row.attempt.incarnation == own.incarnation;
        let fencing = if is_own_write { FencingToken(row.fencing.get() + 1) } else { row.fencing };
        let next = self.acquisition_row(shard, fencing, &row.witnesses);
        self.write_acquisition(shard, next, Some(revision), observation.first_seen).await;
    }

    /// Takes over a row that stayed unchanged for longer than its holder's deadline. The write
    /// takes effect only if the row is still unchanged.
    pub(super) async fn take_over(&self, shard: &ShardId, row: &LeaseRow, revision: u64) {
        if !self.has_consent(&row.holding(shard), &row.witnesses).await {
            return;
        }
        // The row was seen unchanged for TTL + margin, and witnesses keep a promise for as long, so
        // the lease ended a margin ago. Owners add a margin of their own to the old grants' end.
        let consented_at = self.now();
        let previous_end = Instant::from_ms(consented_at.as_ms().saturating_sub(CLOCK_MARGIN_MS));
        let next = self.acquisition_row(shard, FencingToken(row.fencing.get() + 1), &row.witnesses);
        if self.write_acquisition(shard, next, Some(revision), previous_end).await {
            let holder = Witness { instance: row.holder.clone(), incarnation: row.incarnation };
            self.state.borrow_mut().lapsed_holders.insert(holder, consented_at);
        }
    }

    /// Asks all witnesses of the row. Those that are gone can no longer extend the lease.
    async fn has_consent(&self, holding: &Holding, witnesses: &[Witness]) -> bool {
        let mut votes = Votes::new(vec![witnesses.to_vec()]);
        let mut pending_votes = FuturesUnordered::new();
        for witness in votes.voters() {
            if self.settings.witnesses.is_gone(&witness.instance, witness.incarnation) {
                votes.agree(witness);
            } else {
                pending_votes.push(self.ask_consent(witness, holding));
            }
        }
        while !votes.has_majority() {
            match pending_votes.next().await {
                Some(Some(witness)) => votes.agree(witness),
                Some(None) => {}
                None => return false,
            }
        }
        true
    }

    async fn ask_consent(&self, witness: Witness, holding: &Holding) -> Option<Witness> {
        let claim = witness.claim(holding);
        let agrees = if witness.instance == self.local().instance {
            self.consent(&claim)
        } else {
            let call = self.settings.witnesses.consent(&witness.instance, claim);
            let limit = Duration::from_millis(WITNESS_TIMEOUT_MS);
            tokio::time::timeout(limit, call).await.unwrap_or(false)
        };
        agrees.then_some(witness)
    }

    fn acquisition_row(
        &self,
        shard: &ShardId,
        fencing: FencingToken,
        current: &[Witness],
    ) -> LeaseRow {
        LeaseRow {
            holder: self.local().instance.clone(),
            incarnation: self.local().incarnation,
            fencing,
            renewal: 0,
            witnesses: self.choose_witnesses(shard, self.local(), current, &[]),
            attempt: self.next_attempt(),
        }
    }

    /// True if the row was written. Without an answer, the next poll reads the row and looks for
    /// the attempt's id.
    async fn write_acquisition(
        &self,
        shard: &ShardId,
        row: LeaseRow,
        revision: Option<u64>,
        previous_end: Instant,
    ) -> bool {
        let key = LeaseRow::key(shard);
        let transaction =
            Transaction::default().require(key.clone(), revision).put(key, row.encode());
        let sent = self.now();
        match self.commit(&transaction).await {
            Ok(CommitOutcome::Applied { revision }) => {
                let lease = OwnLease::new(row.clone(), revision, sent, self.settings.ttl_ms);
                self.record_acquisition(shard, lease, &row, previous_end);
                true
            }
            Ok(CommitOutcome::Conflict { .. }) | Err(StoreError::Unavailable { .. }) => false,
            Err(error) => {
                log::warn!(target: "lease", "no answer to the acquisition of {shard}: {error}");
                let unanswered = UnansweredAcquisition { attempt: row.attempt, sent, previous_end };
                self.record_unanswered_acquisition(shard, unanswered);
                false
            }
        }
    }

    fn record_unanswered_acquisition(&self, shard: &ShardId, unanswered: UnansweredAcquisition) {
        let ttl_ms = self.settings.ttl_ms;
        if let Some(observation) = self.state.borrow_mut().observed.get_mut(shard) {
            observation.attempts.retain(|old| old.sent.plus_ms(ttl_ms) > unanswered.sent);
            observation.attempts.push(unanswered);
        }
    }
}
