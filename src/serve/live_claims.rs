use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::gateway::BUDGET_SHARDS;
use crate::units::{AttemptId, Fencing, OrganisationId, RequestId, ShardId};

/// The request ids that this instance answers now, with the fencing number of the lease under
/// which their holder has them. A holder with another number has to be told again.
#[derive(Debug, Default)]
pub struct LiveClaims {
    claims: RefCell<BTreeMap<AttemptId, LiveClaim>>,
}

#[derive(Clone, Debug)]
pub(super) struct LiveClaim {
    pub organisation: OrganisationId,
    pub request: RequestId,
    pub fencing: Fencing,
}

impl LiveClaims {
    pub(super) fn insert(&self, attempt: &AttemptId, claim: LiveClaim) {
        self.claims.borrow_mut().insert(attempt.clone(), claim);
    }

    pub(super) fn remove(&self, attempt: &AttemptId) {
        self.claims.borrow_mut().remove(attempt);
    }

    /// Records that the holder with this fencing number has the claim, if it has not ended.
    pub(super) fn note_fencing(&self, attempt: &AttemptId, fencing: Fencing) {
        if let Some(claim) = self.claims.borrow_mut().get_mut(attempt) {
            claim.fencing = fencing;
        }
    }

    /// Claims by the shard of their organisation.
    pub(super) fn by_shard(&self) -> BTreeMap<ShardId, Vec<(AttemptId, LiveClaim)>> {
        let mut shards: BTreeMap<ShardId, Vec<_>> = BTreeMap::new();
        for (attempt, claim) in self.claims.borrow().iter() {
            let shard = ShardId::of_organisation(&claim.organisation, BUDGET_SHARDS);
            shards.entry(shard).or_default().push((attempt.clone(), claim.clone()));
        }
        shards
    }
}
