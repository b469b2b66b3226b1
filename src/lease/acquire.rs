//! Table writes that make this instance the holder of a lease. Each takes a higher fencing token.

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
    /// Creates the lease row of a shard that has never had a holder.
    pub(super) async fn acquire(&self, shard: &ShardId) {
        let row = self.acquisition_row(shard, FencingToken(1), &[]);
        self.write_acquisition(shard, row, None, Instant::default()).await;
    }

    /// Acquires a lease whose row already names this instance: the lease lapsed, was handed over to
    /// it, or the acquisition got no response. No other instance can hold it while the row is
    /// unchanged.
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
        // After a handover the row already carries a new fencing token. The transferred state is
        // known to be the latest only under the token that directly follows the predecessor's.
        let own = self.local();
        let is_own_write =
            row.attempt.instance == own.instance && row.attempt.incarnation == own.incarnation;
        let fencing = if is_own_write { FencingToken(row.fencing.get() + 1) } else { row.fencing };
        let next = self.acquisition_row(shard, fencing, &row.witnesses);
        self.write_acquisition(shard, next, Some(revision), observation.first_seen).await;
    }

    /// Takes over a lease whose row has not changed for longer than its holder's deadline. The
    /// write is applied only if the row is still unchanged.
    pub(super) async fn take_over(&self, shard: &ShardId, row: &LeaseRow, revision: u64) {
        if !self.has_consent(&row.holding(shard), &row.witnesses).await {
            return;
        }
        // The row was unchanged for TTL + margin, and witnesses keep a promise for as long, so the
        // lease ended at least one margin ago. Shard owners add a margin of their own to the end of
        // older grants.
        let consented_at = self.now();
        let previous_end = Instant::from_ms(consented_at.as_ms().saturating_sub(CLOCK_MARGIN_MS));
        let next = self.acquisition_row(shard, FencingToken(row.fencing.get() + 1), &row.witnesses);
        if self.write_acquisition(shard, next, Some(revision), previous_end).await {
            let holder = Witness { instance: row.holder.clone(), incarnation: row.incarnation };
            self.state.borrow_mut().lapsed_holders.insert(holder, consented_at);
        }
    }

    /// Returns whether a majority of the row's witnesses consents to a takeover. Witnesses whose
    /// process has ended count as consenting, as they can no longer extend the lease.
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

    /// Returns true if the row was written. If there is no response, the next poll reads the row
    /// and looks for the attempt id.
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
                log::warn!(target: "lease", "no response to the acquisition of {shard}: {error}");
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
