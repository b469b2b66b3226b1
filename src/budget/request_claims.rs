use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::budget::ReportedClaim;
use crate::clock::{Clock, Instant};
use crate::units::{
    AttemptId, FencingToken, Incarnation, InstanceId, OrganisationId, RequestId, ShardId,
};

/// Request ids in progress, at the holder of their organisation's budget shard. A caller that
/// repeats a request elsewhere is told of the attempt that runs it.
///
/// A new holder knows no claims. It learns them from the reports of all instances before it
/// answers. An instance that did not report claims its live requests again under the same attempt,
/// which is answered with `Claimed`.
pub struct RequestClaims<C: Clock> {
    clock: C,
    claims: RefCell<Claims>,
    /// Shards whose claims are known, with the fencing number under which they were collected.
    collected: RefCell<BTreeMap<ShardId, FencingToken>>,
}

#[derive(Default)]
struct Claims {
    by_request: BTreeMap<OrganisationId, BTreeMap<RequestId, Claim>>,
    completions: VecDeque<(Instant, OrganisationId, RequestId)>,
}

struct Claim {
    attempt: AttemptId,
    /// Set when the request has completed.
    deadline: Option<Instant>,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    Claimed,
    /// Another attempt runs the request or has completed it.
    Held {
        attempt: AttemptId,
        completed: bool,
    },
}

impl<C: Clock> RequestClaims<C> {
    /// How long the id of a completed request is kept.
    pub const COMPLETED_RETENTION_MS: u64 = 600_000;

    pub fn new(clock: C) -> RequestClaims<C> {
        RequestClaims { clock, claims: RefCell::default(), collected: RefCell::default() }
    }

    pub fn claim(
        &self,
        organisation: &OrganisationId,
        request: &RequestId,
        attempt: &AttemptId,
    ) -> ClaimAnswer {
        let mut claims = self.claims.borrow_mut();
        claims.expire(self.clock.now());
        let requests = claims.by_request.entry(organisation.clone()).or_default();
        let claim = requests
            .entry(request.clone())
            .or_insert_with(|| Claim { attempt: attempt.clone(), deadline: None });
        if claim.attempt == *attempt && claim.deadline.is_none() {
            return ClaimAnswer::Claimed;
        }
        ClaimAnswer::Held { attempt: claim.attempt.clone(), completed: claim.deadline.is_some() }
    }

    /// Ends an attempt. A request that did not complete may be claimed again at once. Has no
    /// effect on a claim of another attempt or on one that has completed. A completion is kept
    /// even without a claim, since the holder may be new and not have heard of the claim.
    pub fn finish(
        &self,
        organisation: &OrganisationId,
        request: &RequestId,
        attempt: &AttemptId,
        completed: bool,
    ) {
        let deadline = self.clock.now().plus_ms(Self::COMPLETED_RETENTION_MS);
        self.claims.borrow_mut().finish(organisation, request, attempt, completed, deadline);
    }

    /// Records that all instances have been asked for their claims under this fencing number.
    pub fn set_collected(&self, shard: &ShardId, fencing: FencingToken) {
        self.collected.borrow_mut().insert(shard.clone(), fencing);
    }

    /// Whether a claim may be answered under this fencing number.
    pub fn is_collected(&self, shard: &ShardId, fencing: FencingToken) -> bool {
        self.collected.borrow().get(shard) == Some(&fencing)
    }

    /// Takes in a claim that an instance reports. Claims that are known already stay.
    pub fn add_reported(&self, reported: &ReportedClaim) {
        let ReportedClaim { organisation, request, attempt, kept_ms } = reported;
        self.claim(organisation, request, attempt);
        if let Some(kept_ms) = kept_ms {
            let deadline = self.clock.now().plus_ms((*kept_ms).min(Self::COMPLETED_RETENTION_MS));
            self.claims.borrow_mut().finish(organisation, request, attempt, true, deadline);
        }
    }

    /// The runs of instances that have unfinished claims.
    pub fn claiming_instances(&self) -> BTreeSet<(InstanceId, Incarnation)> {
        let claims = self.claims.borrow();
        let all = claims.by_request.values().flat_map(BTreeMap::values);
        let unfinished = all.filter(|claim| claim.deadline.is_none());
        unfinished.map(|c| (c.attempt.instance.clone(), c.attempt.incarnation)).collect()
    }

    /// Drops the unfinished claims of a run of an instance that has died.
    pub fn release_instance(&self, instance: &InstanceId, incarnation: Incarnation) {
        self.claims.borrow_mut().retain(|_, claim| {
            let AttemptId { instance: holder, incarnation: run, .. } = &claim.attempt;
            claim.deadline.is_some() || holder != instance || *run != incarnation
        });
    }

    /// Drops the claims of organisations whose shard is not held any more.
    pub fn retain_organisations(&self, is_held: impl Fn(&OrganisationId) -> bool) {
        self.claims.borrow_mut().retain(|organisation, _| is_held(organisation));
    }

    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.borrow().by_request.values().map(BTreeMap::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Claims {
    fn finish(
        &mut self,
        organisation: &OrganisationId,
        request: &RequestId,
        attempt: &AttemptId,
        completed: bool,
        deadline: Instant,
    ) {
        if completed {
            let requests = self.by_request.entry(organisation.clone()).or_default();
            requests
                .entry(request.clone())
                .or_insert_with(|| Claim { attempt: attempt.clone(), deadline: None });
        }
        let requests = self.by_request.get_mut(organisation);
        let claim = requests.and_then(|requests| requests.get_mut(request));
        let Some(claim) = claim.filter(|c| c.attempt == *attempt && c.deadline.is_none()) else {
            return;
        };
        if completed {
            claim.deadline = Some(deadline);
            let at = self.completions.partition_point(|(earlier, ..)| *earlier <= deadline);
            self.completions.insert(at, (deadline, organisation.clone(), request.clone()));
        } else {
            self.remove(organisation, request);
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, organisation, request)) =
            self.completions.pop_front_if(|(deadline, ..)| *deadline <= now)
        {
            let requests = self.by_request.get(&organisation);
            let deadline = requests.and_then(|requests| requests.get(&request)?.deadline);
            if deadline == Some(at) {
                self.remove(&organisation, &request);
            }
        }
    }

    fn remove(&mut self, organisation: &OrganisationId, request: &RequestId) {
        let Some(requests) = self.by_request.get_mut(organisation) else { return };
        requests.remove(request);
        if requests.is_empty() {
            self.by_request.remove(organisation);
        }
    }

    fn retain(&mut self, keep: impl Fn(&OrganisationId, &Claim) -> bool) {
        self.by_request.retain(|organisation, requests| {
            requests.retain(|_, claim| keep(organisation, claim));
            !requests.is_empty()
        });
    }
}
