use crate::clock::Instant;
use crate::lease::{LeaseRow, Witness};
use crate::peer::Member;
use crate::units::{AttemptId, FencingToken};

/// A lease of this instance and the known state of its row.
#[derive(Clone, Debug)]
pub(super) struct OwnLease {
    pub fencing: FencingToken,
    pub revision: u64,
    pub renewal: u64,
    pub witnesses: Vec<Witness>,
    pub deadline: Instant,
    /// Writes based on `revision` whose outcome is unknown. Any of them may still be applied.
    pub pending: Option<PendingRenewals>,
    /// Whether the row must be read before the next write, because the outcome of a write is
    /// unknown.
    pub must_read: bool,
    /// Witnesses that did not agree to the last extension. The next renewal replaces them.
    pub refused: Vec<Witness>,
    pub last_stored: Instant,
    /// The first member in rendezvous order, if it is another instance, and since when it has been
    /// first.
    pub preferred: Option<(Member, Instant)>,
}

/// Renewals that were sent and are not known to have failed. All name the same witnesses, so that
/// an extension needs at most two majorities: of the witnesses in the known row and of those in the
/// row that may have replaced it.
#[derive(Clone, Debug)]
pub(super) struct PendingRenewals {
    pub witnesses: Vec<Witness>,
    /// Attempts that would still extend the lease, each with the time just before it was sent.
    pub attempts: Vec<(AttemptId, Instant)>,
    /// Number of attempts that may be applied, including those too old to extend the lease.
    pub count: usize,
}

impl OwnLease {
    pub fn new(row: LeaseRow, revision: u64, sent: Instant, ttl_ms: u64) -> OwnLease {
        OwnLease {
            fencing: row.fencing,
            revision,
            renewal: row.renewal,
            witnesses: row.witnesses,
            deadline: sent.plus_ms(ttl_ms),
            pending: None,
            must_read: false,
            refused: Vec::new(),
            last_stored: sent,
            preferred: None,
        }
    }

    pub fn mark_renewed(&mut self, row: &LeaseRow, revision: u64, sent: Instant, ttl_ms: u64) {
        self.set_revision(row, revision);
        self.deadline = self.deadline.max(sent.plus_ms(ttl_ms));
        self.last_stored = self.last_stored.max(sent);
    }

    /// Records a newer row. Pending writes based on the older revision can no longer be applied.
    pub fn set_revision(&mut self, row: &LeaseRow, revision: u64) {
        self.revision = revision;
        self.renewal = row.renewal;
        self.witnesses = row.witnesses.clone();
        self.pending = None;
        self.must_read = false;
    }

    /// Records a renewal. Must be called before the write is sent, since a concurrent extension has
    /// to ask the new row's witnesses too.
    pub fn mark_sent(&mut self, row: &LeaseRow, sent: Instant, ttl_ms: u64) {
        let pending = self.pending.get_or_insert_with(|| PendingRenewals {
            witnesses: row.witnesses.clone(),
            attempts: Vec::new(),
            count: 0,
        });
        pending.attempts.retain(|(_, at)| at.plus_ms(ttl_ms) > sent);
        pending.attempts.push((row.attempt.clone(), sent));
        pending.count += 1;
    }

    /// Removes the last attempt, which is known not to have been applied.
    pub fn mark_not_applied(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.attempts.pop();
            pending.count -= 1;
        }
        self.pending.take_if(|pending| pending.count == 0);
    }

    pub fn sent_at(&self, attempt: &AttemptId) -> Option<Instant> {
        let pending = self.pending.as_ref()?;
        pending.attempts.iter().find(|(id, _)| id == attempt).map(|(_, sent)| *sent)
    }

    /// The witness sets that the row may name now.
    pub fn witness_sets(&self) -> Vec<Vec<Witness>> {
        let mut sets = vec![self.witnesses.clone()];
        sets.extend(self.pending.iter().map(|p| p.witnesses.clone()));
        sets
    }
}
