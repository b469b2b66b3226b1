use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

use crate::budget::{ReportedClaim, RequestClaims};
use crate::clock::{BootClock, Clock, Instant};
use crate::gateway::budget_shard;
use crate::units::{AttemptId, FencingToken, OrganisationId, RequestId, ShardId};

/// Request ids that this instance is answering, each with the fencing token of the holder that
/// recorded the claim. A holder with another token must be sent the claim again. Ids of requests
/// that this instance has completed are kept as long as at the holder, so that a new holder can
/// collect them.
#[derive(Debug, Default)]
pub struct LiveClaims {
    claims: RefCell<BTreeMap<AttemptId, LiveClaim>>,
    completed: RefCell<VecDeque<CompletedClaim>>,
}

/// A claim of a completed request, kept until its deadline.
#[derive(Clone, Debug)]
struct CompletedClaim {
    organisation: OrganisationId,
    request: RequestId,
    attempt: AttemptId,
    deadline: Instant,
}

/// A claim of a request that this instance is answering.
#[derive(Clone, Debug)]
pub(super) struct LiveClaim {
    pub organisation: OrganisationId,
    pub request: RequestId,
    pub fencing: FencingToken,
}

impl LiveClaims {
    /// Bounds memory: 10 minutes at 33 requests/s with an id, twice the load at the deployment size
    /// expected in two years.
    const MAX_COMPLETED: usize = 20_000;

    pub(super) fn insert(&self, attempt: &AttemptId, claim: LiveClaim) {
        self.claims.borrow_mut().insert(attempt.clone(), claim);
    }

    pub(super) fn remove(&self, attempt: &AttemptId) {
        self.claims.borrow_mut().remove(attempt);
    }

    /// Moves a live claim to the completed ones.
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

    /// Records that the holder with this fencing token has the claim, unless the claim has ended.
    pub(super) fn record_fencing(&self, attempt: &AttemptId, fencing: FencingToken) {
        if let Some(claim) = self.claims.borrow_mut().get_mut(attempt) {
            claim.fencing = fencing;
        }
    }

    /// Live claims grouped by the shard of their organisation.
    pub(super) fn by_shard(&self) -> BTreeMap<ShardId, Vec<(AttemptId, LiveClaim)>> {
        let mut shards: BTreeMap<ShardId, Vec<_>> = BTreeMap::new();
        for (attempt, claim) in self.claims.borrow().iter() {
            let shard = budget_shard(&claim.organisation);
            shards.entry(shard).or_default().push((attempt.clone(), claim.clone()));
        }
        shards
    }
}
