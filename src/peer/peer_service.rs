use crate::budget::{DrawAnswer, DrawRequest, PartAnswer, PartRequest, ReportedClaim};
use crate::config::Change;
use crate::lease::{Holding, LeaseClaim};
use crate::peer::{ClaimReply, Heartbeat};
use crate::pool::{Admission, AdmitAnswer, FinishedAttempt, Progress};
use crate::units::{
    AttemptId, Fingerprint, Incarnation, InstanceId, OrganisationId, RequestId, ShardId, Version,
};

/// The calls that an instance serves to its peers: one method for each method of the protocol.
#[allow(async_fn_in_trait)]
pub trait PeerService: 'static {
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat;

    fn holders(&self, shards: &[ShardId]) -> Vec<Holding>;

    fn extend_lease(&self, claim: &LeaseClaim) -> bool;

    fn consent_takeover(&self, claim: &LeaseClaim) -> bool;

    async fn hand_over(&self, shard: ShardId, state: Vec<u8>) -> bool;

    fn draw(&self, request: DrawRequest) -> DrawAnswer;

    fn renew_parts(&self, shard: &ShardId, request: PartRequest) -> PartAnswer;

    fn claim_request(
        &self,
        organisation: OrganisationId,
        request: RequestId,
        attempt: AttemptId,
    ) -> ClaimReply;

    /// Returns whether this instance holds the organisation's shard.
    fn finish_request(
        &self,
        organisation: OrganisationId,
        request: RequestId,
        attempt: AttemptId,
        completed: bool,
    ) -> bool;

    /// The request ids of a shard's organisations that this instance is serving or has served.
    fn report_claims(&self, shard: &ShardId) -> Vec<ReportedClaim>;

    async fn admit(&self, admission: Admission) -> AdmitAnswer;

    /// Returns how many endpoints died while serving requests with this fingerprint.
    async fn finish_attempt(
        &self,
        shard: ShardId,
        finished: FinishedAttempt,
        fingerprint: Fingerprint,
    ) -> u32;

    /// Returns whether this instance holds the shard.
    fn report_progress(
        &self,
        instance: InstanceId,
        incarnation: Incarnation,
        shard: ShardId,
        attempts: Vec<Progress>,
    ) -> bool;

    async fn push_change(&self, change: Change) -> Version;

    fn changes_since(&self, version: Version) -> (Vec<Change>, Version);

    fn snapshot(&self) -> (Version, String);

    fn note_version(&self, version: Version, witness_incarnation: Incarnation) -> bool;

    /// Returns `None` if this instance does not run as the given witness incarnation.
    fn noted_version(&self, witness_incarnation: Incarnation) -> Option<Version>;
}
