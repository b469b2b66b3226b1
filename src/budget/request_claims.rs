use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::budget::ReportedClaim;
use crate::clock::{Clock, Instant};
use crate::units::{
    AttemptId, FencingToken, Incarnation, InstanceId, OrganisationId, RequestId, ShardId,
};

/// Claims on the ids of running and recently completed requests, kept by the holder of the
/// organisation's budget shard. A caller that repeats a request at another instance is told which
/// attempt runs it.
///
/// A new holder starts without claims. It collects them from the reports of all instances before it
/// answers. An instance that did not report claims its running requests again with the same attempt
/// ids, which is answered with `Claimed`.
pub struct RequestClaims<C: Clock> {
    clock: C,
    claims: RefCell<Claims>,
    /// Shards whose claims have been collected, with the fencing token at that time.
    collected: RefCell<BTreeMap<ShardId, FencingToken>>,
}

#[derive(Default)]
struct Claims {
    by_request: BTreeMap<OrganisationId, BTreeMap<RequestId, Claim>>,
    completions: VecDeque<(Instant, OrganisationId, RequestId)>,
}

struct Claim {
    attempt: AttemptId,
    /// Time at which the claim of a completed request expires; `None` while the request runs.
    deadline: Option<Instant>,
}

/// Result of claiming a request id.
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
    /// Time for which the id of a completed request is kept.
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

    /// Ends an attempt. A request that did not complete can be claimed again immediately. Claims of
    /// other attempts and claims already completed are not affected. A completion is recorded even
    /// without a claim, since this holder may be new and may not have received the claim.
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

    /// Records that all instances have been asked for their claims under this fencing token.
    pub fn set_collected(&self, shard: &ShardId, fencing: FencingToken) {
        self.collected.borrow_mut().insert(shard.clone(), fencing);
    }

    /// Whether claims may be answered under this fencing token.
    pub fn is_collected(&self, shard: &ShardId, fencing: FencingToken) -> bool {
        self.collected.borrow().get(shard) == Some(&fencing)
    }

    /// Adds a claim reported by an instance. Existing claims are not replaced.
    pub fn add_reported(&self, reported: &ReportedClaim) {
        let ReportedClaim { organisation, request, attempt, kept_ms } = reported;
        self.claim(organisation, request, attempt);
        if let Some(kept_ms) = kept_ms {
            let deadline = self.clock.now().plus_ms((*kept_ms).min(Self::COMPLETED_RETENTION_MS));
            self.claims.borrow_mut().finish(organisation, request, attempt, true, deadline);
        }
    }

    /// Instances, with their incarnations, that have unfinished claims.
    pub fn claiming_instances(&self) -> BTreeSet<(InstanceId, Incarnation)> {
        let claims = self.claims.borrow();
        let all = claims.by_request.values().flat_map(BTreeMap::values);
        let unfinished = all.filter(|claim| claim.deadline.is_none());
        unfinished.map(|c| (c.attempt.instance.clone(), c.attempt.incarnation)).collect()
    }

    /// Drops the unfinished claims of an incarnation that has ended.
    pub fn release_instance(&self, instance: &InstanceId, incarnation: Incarnation) {
        self.claims.borrow_mut().retain(|_, claim| {
            let AttemptId { instance: holder, incarnation: run, .. } = &claim.attempt;
            claim.deadline.is_some() || holder != instance || *run != incarnation
        });
    }

    /// Drops the claims of organisations whose shard is no longer held.
    pub fn retain_organisations(&self, is_held: impl Fn(&OrganisationId) -> bool) {
        self.claims.borrow_mut().retain(|organisation, _| is_held(organisation));
    }

    /// Number of claims, running and completed.
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
