//! Calls of peers to this instance.

use crate::budget::{DrawAnswer, DrawRequest, PartAnswer, PartRequest, ReportedClaim};
use crate::clock::Clock;
use crate::config::Change;
use crate::gateway::{Node, budget_shard};
use crate::lease::{Holding, LeaseClaim};
use crate::peer::{ClaimReply, Heartbeat, HeartbeatSource, PeerService};
use crate::pool::{Admission, AdmitAnswer, FinishedAttempt, Progress};
use crate::serve::claim_locally;
use crate::units::{
    AttemptId, Fingerprint, Incarnation, InstanceId, OrganisationId, RequestId, ShardId, Version,
};

impl PeerService for Node {
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.receive_heartbeat(&heartbeat, self.clock.now());
        self.answer_heartbeat(&heartbeat)
    }

    fn holders(&self, shards: &[ShardId]) -> Vec<Holding> {
        shards.iter().filter_map(|shard| self.leases.holding(shard)).collect()
    }

    fn extend_lease(&self, claim: &LeaseClaim) -> bool {
        self.leases.extend(claim)
    }

    fn consent_takeover(&self, claim: &LeaseClaim) -> bool {
        self.leases.consent(claim)
    }

    async fn hand_over(&self, shard: ShardId, state: Vec<u8>) -> bool {
        if !self.leases.expect_handover(&shard) {
            return false;
        }
        match shard {
            // The predecessor has no state if it gained the shard only just now.
            ShardId::Budget(_) if state.is_empty() => true,
            ShardId::Budget(_) => self.budgets.import(&shard, &state).is_ok(),
            // A new holder of a region budget requests its parts again.
            ShardId::RegionBudget { .. } => true,
            // Reports of live attempts rebuild a pool within a second.
            ShardId::Pool { .. } => true,
        }
    }

    fn draw(&self, request: DrawRequest) -> DrawAnswer {
        let shard = self.draw_shard(&request.organisation);
        match self.leases.held(&shard) {
            Some(held) => self.draw_locally(&shard, &request, &held),
            None => DrawAnswer::NotHolder(self.other_holder(&shard)),
        }
    }

    fn renew_parts(&self, shard: &ShardId, request: PartRequest) -> PartAnswer {
        match self.leases.held(shard) {
            Some(held) => self.region_budgets.renew(shard, &request, held.deadline),
            None => PartAnswer::NotHolder(self.other_holder(shard)),
        }
    }

    fn claim_request(
        &self,
        organisation: OrganisationId,
        request: RequestId,
        attempt: AttemptId,
    ) -> ClaimReply {
        match claim_locally(self, &organisation, &request, &attempt) {
            Some((claim, _)) => claim,
            None => {
                let shard = budget_shard(&organisation);
                ClaimReply::NotHolder(self.other_holder(&shard))
            }
        }
    }

    fn report_claims(&self, shard: &ShardId) -> Vec<ReportedClaim> {
        self.live_claims.of_shard(shard, &self.clock)
    }

    fn finish_request(
        &self,
        organisation: OrganisationId,
        request: RequestId,
        attempt: AttemptId,
        completed: bool,
    ) -> bool {
        let shard = budget_shard(&organisation);
        let is_holder = self.leases.held(&shard).is_some();
        if is_holder {
            self.claims.finish(&organisation, &request, &attempt, completed);
        }
        is_holder
    }

    async fn admit(&self, admission: Admission) -> AdmitAnswer {
        match self.leases.held(&admission.shard) {
            Some(held) => self.pools.admit(admission, held.deadline).await,
            None => AdmitAnswer::NotHolder(self.other_holder(&admission.shard)),
        }
    }

    async fn finish_attempt(
        &self,
        shard: ShardId,
        finished: FinishedAttempt,
        fingerprint: Fingerprint,
    ) -> u32 {
        self.finish_own_attempt(&shard, finished);
        self.suspects.crashes(fingerprint)
    }

    fn report_progress(
        &self,
        instance: InstanceId,
        incarnation: Incarnation,
        shard: ShardId,
        attempts: Vec<Progress>,
    ) -> bool {
        self.leases.held(&shard).is_some()
            && self.pools.report(&instance, incarnation, &shard, attempts)
    }

    async fn push_change(&self, change: Change) -> Version {
        self.configuration.apply(change)
    }

    fn changes_since(&self, version: Version) -> (Vec<Change>, Version) {
        let changes = self.configuration.changes_since(version);
        (changes, self.configuration.current().version)
    }

    fn snapshot(&self) -> (Version, String) {
        let snapshot = self.configuration.snapshot();
        (snapshot.version, snapshot.text.to_string())
    }

    fn note_version(&self, version: Version, witness_incarnation: Incarnation) -> bool {
        self.configuration.note_version(version, witness_incarnation)
    }

    fn noted_version(&self, witness_incarnation: Incarnation) -> Option<Version> {
        self.configuration.noted_version(witness_incarnation)
    }
}

impl Node {
    /// Ends an attempt in a pool that this instance owns, and records which requests an endpoint
    /// was running when it died.
    pub fn finish_own_attempt(&self, shard: &ShardId, finished: FinishedAttempt) {
        let interrupted = self.pools.finish(shard, finished);
        if !interrupted.is_empty() {
            log::warn!(target: "suspect", "an endpoint of {shard} died while running {} requests", interrupted.len());
            self.suspects.record_crash(&interrupted);
        }
    }

    /// The holder that a caller should ask instead of this instance.
    fn other_holder(&self, shard: &ShardId) -> Option<Holding> {
        let own = &self.settings.instance;
        self.leases.holding(shard).filter(|holding| holding.holder != *own)
    }
}
