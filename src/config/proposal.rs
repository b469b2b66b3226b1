use smol_str::SmolStr;

use crate::config::{ActiveVersion, Change, ChangeRow, Head, Witness};
use crate::store::Transaction;
use crate::units::AttemptId;

/// A validated version that is about to be committed.
pub(super) struct Proposal {
    pub(super) next: ActiveVersion,
    pub(super) change: Change,
    pub(super) team: SmolStr,
    pub(super) attempt: AttemptId,
    pub(super) witnesses: Vec<Witness>,
}

impl Proposal {
    /// Number of change rows kept. Older rows are deleted to bound the size of the table; at 7,100
    /// changes a day, this covers more than a day.
    const MAX_KEPT_CHANGE_ROWS: u64 = 10_000;

    /// Builds the transaction that writes the head and change rows, on condition that the head row
    /// is still at `revision`.
    pub(super) fn transaction(
        &self,
        revision: Option<u64>,
    ) -> Result<Transaction, serde_json::Error> {
        let version = self.change.version;
        let head = Head {
            version,
            hash: self.change.content_hash,
            attempt: self.attempt.clone(),
            witnesses: self.witnesses.clone(),
        };
        let row = ChangeRow {
            change: self.change.clone(),
            attempt: self.attempt.clone(),
            team: self.team.clone(),
        };
        let key = ChangeRow::key(version);
        let transaction = Transaction::default()
            .require(Head::KEY, revision)
            .require(key.clone(), None)
            .put(Head::KEY, serde_json::to_string(&head)?)
            .put(key, serde_json::to_string(&row)?);
        Ok(match version.get().checked_sub(Proposal::MAX_KEPT_CHANGE_ROWS) {
            Some(old) if old > 0 => transaction.delete(ChangeRow::key(crate::units::Version(old))),
            _ => transaction,
        })
    }
}
