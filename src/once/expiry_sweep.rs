use crate::gateway::budget_shard;
use crate::once::ClaimRow;
use crate::store::{CommitOutcome, StoreError, Table, Transaction};
use crate::units::{OrganisationId, ShardId};

/// Rows are kept for 7 days after the claim. One more day allows for the difference between the
/// wall clocks of the claiming and the deleting instance.
const RETENTION_S: u64 = 7 * 86_400;
const CLOCK_MARGIN_S: u64 = 86_400;

/// Iterates over the claim rows of one shard's organisations in small batches and deletes the
/// expired ones.
#[derive(Debug)]
pub struct ExpirySweep {
    shard: ShardId,
    /// Key of the last row examined.
    after: String,
}

/// Result of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SweepProgress {
    Deleted(usize),
    /// The end of the rows was reached; the next batch starts at the first row.
    AtEnd,
}

impl ExpirySweep {
    /// Number of rows read, and at most deleted, in a batch.
    pub const BATCH_SIZE: usize = 4;

    /// Creates a sweep that starts after the given key.
    pub fn new(shard: ShardId, after: impl Into<String>) -> ExpirySweep {
        ExpirySweep { shard, after: after.into() }
    }

    /// Processes the next rows. After an error the same rows are read again. A deletion that is
    /// applied late is harmless, because it is conditional on the revision of the expired row.
    pub async fn run_batch<T: Table>(
        &mut self,
        table: &T,
        now_unix_s: u64,
        is_holder: impl Fn() -> bool,
    ) -> Result<SweepProgress, StoreError> {
        let rows = table.scan(ClaimRow::TABLE_PREFIX, &self.after, Self::BATCH_SIZE).await?;
        let Some((last, _)) = rows.last() else {
            self.after.clear();
            return Ok(SweepProgress::AtEnd);
        };
        let mut next = last.clone();
        let mut deletions = Transaction::default();
        for (key, row) in &rows {
            let organisation = organisation_of(key);
            if budget_shard(&organisation) != self.shard {
                next = key_after_organisation(&organisation);
                break;
            }
            match serde_json::from_str::<ClaimRow>(&row.value) {
                Ok(claim) if is_expired(&claim, now_unix_s) => {
                    deletions = deletions.require(key, Some(row.revision)).delete(key);
                }
                Ok(_) => {}
                Err(error) => log::warn!(target: "once", "cannot parse row {key}: {error}"),
            }
        }
        let mut deleted = 0;
        if !deletions.writes.is_empty() && is_holder() {
            match table.commit(&deletions).await? {
                CommitOutcome::Applied { .. } => deleted = deletions.writes.len(),
                CommitOutcome::Conflict { key } => {
                    log::debug!(target: "once", "row {key} changed, skipped until the next sweep");
                }
            }
        }
        self.after = next;
        Ok(SweepProgress::Deleted(deleted))
    }
}

fn is_expired(claim: &ClaimRow, now_unix_s: u64) -> bool {
    claim.claimed_at_unix_s.saturating_add(RETENTION_S + CLOCK_MARGIN_S) <= now_unix_s
}

fn organisation_of(key: &str) -> OrganisationId {
    let rest = key.strip_prefix(ClaimRow::TABLE_PREFIX).unwrap_or(key);
    OrganisationId::new(rest.rsplit_once('/').map_or(rest, |(organisation, _)| organisation))
}

/// A key that sorts after all rows of the organisation and before the rows of all later ones: `0`
/// is the character after `/`.
fn key_after_organisation(organisation: &OrganisationId) -> String {
    format!("{}{organisation}0", ClaimRow::TABLE_PREFIX)
}
