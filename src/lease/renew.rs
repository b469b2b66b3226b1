//! Renewal of all held leases in one transaction.

use std::time::Duration;

use crate::clock::Clock;
use crate::lease::leases::TABLE_TIMEOUT_MS;
use crate::lease::own_lease::OwnLease;
use crate::lease::{LeaseRow, Leases, Witnesses};
use crate::store::{CommitOutcome, Row, StoreError, Table, Transaction};
use crate::units::{FencingToken, ShardId};

/// Each conflict removes at least one row from the transaction or yields a newer revision.
const MAX_ROUNDS: usize = 4;

/// The renewal of one lease row.
struct Renewal {
    shard: ShardId,
    /// Fencing token and revision of the row when the renewal was planned.
    known: (FencingToken, u64),
    row: LeaseRow,
}

impl<T: Table, W: Witnesses, C: Clock> Leases<T, W, C> {
    pub(super) async fn renew_loop(&self) {
        let mut tick = tokio::time::interval(Duration::from_millis(self.settings.renew_ms));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            self.drop_lapsed();
            self.renew_all().await;
        }
    }

    pub(super) fn drop_lapsed(&self) {
        let now = self.now();
        let state = self.state.borrow();
        let lapsed = state.leases.iter().filter(|(_, lease)| lease.deadline <= now);
        let lapsed: Vec<ShardId> = lapsed.map(|(shard, _)| shard.clone()).collect();
        drop(state);
        for shard in lapsed {
            self.drop_lease(&shard, "its deadline has passed");
        }
    }

    async fn renew_all(&self) {
        for _ in 0..MAX_ROUNDS {
            self.resolve_unanswered().await;
            let renewals = self.plan_renewals();
            if renewals.is_empty() || !self.commit_renewals(&renewals).await {
                return;
            }
        }
    }

    /// Renews rows in one transaction. Returns true if a row conflicted, in which case nothing was
    /// written.
    async fn commit_renewals(&self, renewals: &[Renewal]) -> bool {
        let mut transaction = Transaction::default();
        for renewal in renewals {
            let key = LeaseRow::key(&renewal.shard);
            transaction = transaction
                .require(key.clone(), Some(renewal.known.1))
                .put(key, renewal.row.encode());
        }
        let (sent, ttl_ms) = (self.now(), self.settings.ttl_ms);
        self.update(renewals, |lease, row| lease.mark_sent(row, sent, ttl_ms));
        match self.commit(&transaction).await {
            Ok(CommitOutcome::Applied { revision }) => {
                self.update(renewals, |lease, row| lease.mark_renewed(row, revision, sent, ttl_ms));
                false
            }
            Ok(CommitOutcome::Conflict { key }) => {
                log::debug!(target: "lease", "lease renewal conflicts at {key}");
                self.update(renewals, |lease, _| {
                    lease.mark_not_applied();
                    lease.must_read = true;
                });
                true
            }
            Err(StoreError::Unavailable { .. }) => {
                self.update(renewals, |lease, _| lease.mark_not_applied());
                false
            }
            Err(error) => {
                log::warn!(target: "lease", "no response to lease renewal: {error}");
                self.update(renewals, |lease, _| lease.must_read = true);
                false
            }
        }
    }

    fn plan_renewals(&self) -> Vec<Renewal> {
        self.refresh_members();
        let leases = self.state.borrow().leases.clone();
        let known = leases.iter().filter(|(_, lease)| !lease.must_read);
        known.map(|(shard, lease)| self.plan_renewal(shard, lease)).collect()
    }

    fn plan_renewal(&self, shard: &ShardId, lease: &OwnLease) -> Renewal {
        let witnesses = match &lease.pending {
            Some(pending) => pending.witnesses.clone(),
            None => self.choose_witnesses(shard, self.local(), &lease.witnesses, &lease.refused),
        };
        let row = LeaseRow {
            holder: self.local().instance.clone(),
            incarnation: self.local().incarnation,
            fencing: lease.fencing,
            renewal: lease.renewal + 1,
            witnesses,
            attempt: self.next_attempt(),
        };
        Renewal { shard: shard.clone(), known: (lease.fencing, lease.revision), row }
    }

    /// Updates the leases that have not changed since the renewals were planned. A lease that was
    /// handed over or lost meanwhile is left alone.
    fn update(&self, renewals: &[Renewal], change: impl Fn(&mut OwnLease, &LeaseRow)) {
        let mut state = self.state.borrow_mut();
        for renewal in renewals {
            if let Some(lease) = state.leases.get_mut(&renewal.shard)
                && (lease.fencing, lease.revision) == renewal.known
            {
                change(lease, &renewal.row);
            }
        }
    }

    /// Reads the rows of writes whose outcome is unknown and looks for the attempt ids.
    async fn resolve_unanswered(&self) {
        let unresolved = self.unresolved();
        if unresolved.is_empty() {
            return;
        }
        let keys: Vec<String> = unresolved.iter().map(|(shard, _)| LeaseRow::key(shard)).collect();
        let Ok(rows) = self.read(&keys).await else { return };
        for ((shard, known), row) in unresolved.iter().zip(rows) {
            self.resolve(shard, *known, row);
        }
    }

    fn unresolved(&self) -> Vec<(ShardId, (FencingToken, u64))> {
        let state = self.state.borrow();
        let unresolved = state.leases.iter().filter(|(_, lease)| lease.must_read);
        unresolved.map(|(shard, lease)| (shard.clone(), (lease.fencing, lease.revision))).collect()
    }

    fn resolve(&self, shard: &ShardId, known: (FencingToken, u64), row: Option<Row>) {
        let revision = row.as_ref().map(|row| row.revision);
        let row = row.and_then(|row| LeaseRow::decode(&row.value));
        let mut state = self.state.borrow_mut();
        let Some(lease) = state.leases.get_mut(shard) else { return };
        if (lease.fencing, lease.revision) != known {
            return;
        }
        match (row, revision) {
            (Some(row), Some(revision))
                if row.is_held_by(self.local()) && row.fencing == lease.fencing =>
            {
                let ttl_ms = self.settings.ttl_ms;
                match lease.sent_at(&row.attempt) {
                    _ if revision == lease.revision => lease.must_read = false,
                    Some(sent) => lease.mark_renewed(&row, revision, sent, ttl_ms),
                    None => lease.set_revision(&row, revision),
                }
            }
            _ => {
                drop(state);
                self.drop_lease(shard, "the row names another holder");
            }
        }
    }

    /// Commits with a timeout. A later response is ignored.
    pub(super) async fn commit(
        &self,
        transaction: &Transaction,
    ) -> Result<CommitOutcome, StoreError> {
        within_table_timeout(self.settings.table.commit(transaction)).await
    }

    pub(super) async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError> {
        within_table_timeout(self.settings.table.read(keys)).await
    }
}

async fn within_table_timeout<A>(
    call: impl Future<Output = Result<A, StoreError>>,
) -> Result<A, StoreError> {
    let limit = Duration::from_millis(TABLE_TIMEOUT_MS);
    tokio::time::timeout(limit, call).await.unwrap_or_else(|_| {
        Err(StoreError::Unanswered { address: "table".into(), reason: "timeout".into() })
    })
}
