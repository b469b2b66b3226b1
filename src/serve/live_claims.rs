use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

use crate::budget::{ReportedClaim, RequestClaims};
use crate::clock::{BootClock, Clock, Instant};
use crate::gateway::budget_shard;
use crate::units::{AttemptId, FencingToken, OrganisationId, RequestId, ShardId};

/// The request ids that this instance answers now, with the fencing number of the lease under
/// which their holder has them. A holder with another number has to be told again. Ids of requests
/// that this instance has completed are kept for as long as at the holder, for a new one.
#[derive(Debug, Default)]
pub struct LiveClaims {
    claims: RefCell<BTreeMap<AttemptId, LiveClaim>>,
    completed: RefCell<VecDeque<CompletedClaim>>,
}

#[derive(Clone, Debug)]
struct CompletedClaim {
    organisation: OrganisationId,
    request: RequestId,
    attempt: AttemptId,
    deadline: Instant,
}

#[derive(Clone, Debug)]
pub(super) struct LiveClaim {
    pub organisation: OrganisationId,
    pub request: RequestId,
    pub fencing: FencingToken,
}

impl LiveClaims {
    /// Bounds memory: ten minutes of 33 requests/s with an id, twice the load of the size of two
    /// years.
    const MAX_COMPLETED: usize = 20_000;

    pub(super) fn insert(&self, attempt: &AttemptId, claim: LiveClaim) {
        self.claims.borrow_mut().insert(attempt.clone(), claim);
    }

    pub(super) fn remove(&self, attempt: &AttemptId) {
        self.claims.borrow_mut().remove(attempt);
    }

    /// Ends a live claim.
    pub(super) fn complete(&self, attempt: &AttemptId, clock: &impl Clock) {
        let Some(claim) = self.claims.borrow_mut().remove(attempt) else { return };
        let now = clock.now();
        let mut completed = self.completed.borrow_mut();
        while completed.pop_front_if(|first| first.deadline <= now).is_some() {}
        if completed.len() >= Self::MAX_COMPLETED {
            completed.pop_front();
        }
        completed.push_back(CompletedClaim {
            organisation: claim.organisation,
            request: claim.request,
            attempt: attempt.clone(),
            deadline: now.plus_ms(RequestClaims::<BootClock>::COMPLETED_RETENTION_MS),
        });
    }

    /// All claims of a shard's organisations, running and completed.
    pub fn of_shard(&self, shard: &ShardId, clock: &impl Clock) -> Vec<ReportedClaim> {
        let now = clock.now();
        let is_in_shard = |name: &OrganisationId| budget_shard(name) == *shard;
        let live = self.claims.borrow();
        let live = live.iter().filter(|(_, claim)| is_in_shard(&claim.organisation));
        let live = live.map(|(attempt, claim)| ReportedClaim {
            organisation: claim.organisation.clone(),
            request: claim.request.clone(),
            attempt: attempt.clone(),
            kept_ms: None,
        });
        let completed = self.completed.borrow();
        let completed = completed.iter().filter(|claim| claim.deadline > now);
        let completed = completed.filter(|claim| is_in_shard(&claim.organisation));
        let completed = completed.map(|claim| ReportedClaim {
            organisation: claim.organisation.clone(),
            request: claim.request.clone(),
            attempt: claim.attempt.clone(),
            kept_ms: Some(claim.deadline.ms_since(now)),
        });
        live.chain(completed).collect()
    }

    /// Records that the holder with this fencing number has the claim, if it has not ended.
    pub(super) fn note_fencing(&self, attempt: &AttemptId, fencing: FencingToken) {
        if let Some(claim) = self.claims.borrow_mut().get_mut(attempt) {
            claim.fencing = fencing;
        }
    }

    /// Claims by the shard of their organisation.
    pub(super) fn by_shard(&self) -> BTreeMap<ShardId, Vec<(AttemptId, LiveClaim)>> {
        let mut shards: BTreeMap<ShardId, Vec<_>> = BTreeMap::new();
        for (attempt, claim) in self.claims.borrow().iter() {
            let shard = budget_shard(&claim.organisation);
            shards.entry(shard).or_default().push((attempt.clone(), claim.clone()));
        }
        shards
    }
}
