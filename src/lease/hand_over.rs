//! Handover of a lease to a successor.

use crate::clock::Clock;
use crate::lease::leases::TABLE_TIMEOUT_MS;
use crate::lease::own_lease::OwnLease;
use crate::lease::selection::is_eligible;
use crate::lease::{LeaseError, LeaseRow, Leases, Witnesses};
use crate::peer::Member;
use crate::store::{CommitOutcome, Table, Transaction};
use crate::units::{FencingToken, ShardId};

/// An in-flight renewal can change the row's revision, so that the first attempt conflicts.
const MAX_ATTEMPTS: usize = 3;

impl<T: Table, W: Witnesses, C: Clock> Leases<T, W, C> {
    /// Writes the successor into the row. This instance stops holding the lease before it sends the
    /// write, whatever the outcome. The successor holds the lease once it has renewed the row.
    pub async fn hand_over(&self, shard: &ShardId, to: &Member) -> Result<(), LeaseError> {
        if !is_eligible(shard, to) {
            let successor = to.instance.clone();
            return Err(LeaseError::WrongRegion { shard: shard.clone(), successor });
        }
        if self.held(shard).is_none() {
            return Err(LeaseError::NotHeld(shard.clone()));
        }
        let Some(lease) = self.drop_lease(shard, "handed over") else {
            return Err(LeaseError::NotHeld(shard.clone()));
        };
        let until = self.now().plus_ms(MAX_ATTEMPTS as u64 * 2 * TABLE_TIMEOUT_MS);
        self.state.borrow_mut().handing_over.insert(shard.clone(), until);
        let outcome = self.write_successor(shard, lease, to).await;
        self.state.borrow_mut().handing_over.remove(shard);
        outcome
    }

    async fn write_successor(
        &self,
        shard: &ShardId,
        lease: OwnLease,
        to: &Member,
    ) -> Result<(), LeaseError> {
        let fencing = lease.fencing;
        let row = LeaseRow {
            holder: to.instance.clone(),
            incarnation: to.incarnation,
            fencing: FencingToken(fencing.get() + 1),
            renewal: 0,
            witnesses: self.choose_witnesses(shard, to, &lease.witnesses, &lease.refused),
            attempt: self.next_attempt(),
        };
        let mut revision = lease.revision;
        for _ in 0..MAX_ATTEMPTS {
            let key = LeaseRow::key(shard);
            let transaction =
                Transaction::default().require(key.clone(), Some(revision)).put(key, row.encode());
            if let CommitOutcome::Applied { .. } = self.commit(&transaction).await? {
                self.record_holding(row.holding(shard));
                return Ok(());
            }
            revision = self.own_revision(shard, fencing).await?;
        }
        Err(LeaseError::RowChanged(shard.clone()))
    }

    /// Returns the row's revision if the row still names this instance with the given fencing
    /// token.
    async fn own_revision(
        &self,
        shard: &ShardId,
        fencing: FencingToken,
    ) -> Result<u64, LeaseError> {
        let rows = self.read(&[LeaseRow::key(shard)]).await?;
        let row = rows.into_iter().next().flatten();
        let own = row.and_then(|row| {
            let decoded = LeaseRow::decode(&row.value)?;
            let is_own = decoded.is_held_by(self.local()) && decoded.fencing == fencing;
            is_own.then_some(row.revision)
        });
        own.ok_or_else(|| LeaseError::RowChanged(shard.clone()))
    }
}
