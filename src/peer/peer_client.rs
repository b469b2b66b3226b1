use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use smol_str::ToSmolStr;
use tokio::sync::Notify;

use crate::budget::{DrawAnswer, DrawRequest, PartAnswer, PartRequest, ReportedClaim};
use crate::config::Change;
use crate::lease::{Holding, LeaseClaim};
use crate::peer::{ClaimReply, Heartbeat, PeerError, decode, encode};
use crate::peer_capnp::peer;
use crate::pool::{Admission, AdmitAnswer, FinishedAttempt, Progress};
use crate::units::{
    AttemptId, Fingerprint, Incarnation, InstanceId, OrganisationId, RequestId, ShardId, Version,
};

/// Limit of a call that the peer answers from memory.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Limit of a call that transfers a shard's state or a whole document.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Added to an admission's queue time for the round trip to the owner.
const ADMIT_MARGIN: Duration = Duration::from_millis(500);

/// Typed calls to one peer, each with a timeout.
#[derive(Clone)]
pub struct PeerClient {
    client: peer::Client,
    /// Notified of each call that timed out.
    timed_out: Rc<Notify>,
}

impl PeerClient {
    pub fn new(client: peer::Client) -> PeerClient {
        PeerClient { client, timed_out: Rc::default() }
    }

    /// Completes when a call has timed out, which may mean that the connection is dead.
    pub async fn timed_out(&self) {
        self.timed_out.notified().await;
    }

    async fn with_timeout<T>(
        &self,
        limit: Duration,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, PeerError> {
        match tokio::time::timeout(limit, call).await {
            Ok(answer) => Ok(answer?),
            Err(_) => {
                self.timed_out.notify_one();
                Err(PeerError::Timeout)
            }
        }
    }

    /// Checks that the connection responds.
    pub async fn ping(&self) -> Result<(), PeerError> {
        count_call("ping");
        self.with_timeout(CALL_TIMEOUT, self.client.ping_request().send().promise).await?;
        Ok(())
    }

    pub async fn heartbeat(&self, heartbeat: &Heartbeat) -> Result<Heartbeat, PeerError> {
        count_call("heartbeat");
        let mut request = self.client.heartbeat_request();
        encode::heartbeat(request.get().init_heartbeat(), heartbeat);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        decode::heartbeat(response.get()?.get_heartbeat()?)
    }

    pub async fn holders(&self, shards: &[ShardId]) -> Result<Vec<Holding>, PeerError> {
        count_call("holders");
        let mut request = self.client.holders_request();
        encode::shards(request.get().init_shards(shards.len() as u32), shards);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        decode::holdings(response.get()?.get_holdings()?)
    }

    pub async fn extend_lease(&self, claim: &LeaseClaim) -> Result<bool, PeerError> {
        count_call("extend_lease");
        let mut request = self.client.extend_lease_request();
        encode::lease_claim(request.get().init_claim(), claim);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        Ok(response.get()?.get_granted())
    }

    pub async fn consent_takeover(&self, claim: &LeaseClaim) -> Result<bool, PeerError> {
        count_call("consent_takeover");
        let mut request = self.client.consent_takeover_request();
        encode::lease_claim(request.get().init_claim(), claim);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        Ok(response.get()?.get_granted())
    }

    pub async fn hand_over(&self, shard: &ShardId, state: &[u8]) -> Result<bool, PeerError> {
        count_call("hand_over");
        let mut request = self.client.hand_over_request();
        request.get().set_shard(shard.to_smolstr().as_str());
        request.get().set_state(state);
        let response = self.with_timeout(TRANSFER_TIMEOUT, request.send().promise).await?;
        Ok(response.get()?.get_accepted())
    }

    pub async fn draw(&self, draw: &DrawRequest) -> Result<DrawAnswer, PeerError> {
        count_call("draw");
        let mut request = self.client.draw_request();
        encode::draw_request(request.get().init_request(), draw);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        decode::draw_answer(response.get()?.get_answer()?)
    }

    pub async fn renew_parts(
        &self,
        shard: &ShardId,
        parts: &PartRequest,
    ) -> Result<PartAnswer, PeerError> {
        count_call("renew_parts");
        let mut request = self.client.renew_parts_request();
        let mut params = request.get();
        params.set_shard(shard.to_smolstr().as_str());
        encode::part_request(params.init_request(), parts);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        decode::part_answer(response.get()?.get_answer()?)
    }

    pub async fn claim_request(
        &self,
        organisation: &OrganisationId,
        id: &RequestId,
        attempt: &AttemptId,
    ) -> Result<ClaimReply, PeerError> {
        count_call("claim_request");
        let mut request = self.client.claim_request_request();
        let mut params = request.get();
        params.set_organisation(organisation.as_str());
        params.set_request(id.as_str());
        params.set_attempt(attempt.to_smolstr().as_str());
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        decode::claim_reply(response.get()?.get_answer()?)
    }

    pub async fn finish_request(
        &self,
        organisation: &OrganisationId,
        id: &RequestId,
        attempt: &AttemptId,
        completed: bool,
    ) -> Result<(), PeerError> {
        count_call("finish_request");
        let mut request = self.client.finish_request_request();
        let mut params = request.get();
        params.set_organisation(organisation.as_str());
        params.set_request(id.as_str());
        params.set_attempt(attempt.to_smolstr().as_str());
        params.set_completed(completed);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        if response.get()?.get_holder() { Ok(()) } else { Err(PeerError::NotHolder) }
    }

    pub async fn report_claims(&self, shard: &ShardId) -> Result<Vec<ReportedClaim>, PeerError> {
        count_call("report_claims");
        let mut request = self.client.report_claims_request();
        request.get().set_shard(shard.to_smolstr().as_str());
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        response.get()?.get_claims()?.iter().map(decode::reported_claim).collect()
    }

    pub async fn admit(&self, admission: &Admission) -> Result<AdmitAnswer, PeerError> {
        count_call("admit");
        let limit = Duration::from_millis(admission.queue_ms) + ADMIT_MARGIN;
        let mut request = self.client.admit_request();
        encode::admission(request.get().init_admission(), admission);
        let response = self.with_timeout(limit, request.send().promise).await?;
        decode::admit_answer(response.get()?.get_answer()?)
    }

    pub async fn finish_attempt(
        &self,
        shard: &ShardId,
        finished: &FinishedAttempt,
        fingerprint: Fingerprint,
    ) -> Result<u32, PeerError> {
        count_call("finish_attempt");
        let mut request = self.client.finish_attempt_request();
        request.get().set_shard(shard.to_smolstr().as_str());
        request.get().set_fingerprint(fingerprint.0);
        encode::finished_attempt(request.get().init_finished(), finished);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        Ok(response.get()?.get_crashes())
    }

    pub async fn report_progress(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
        shard: &ShardId,
        attempts: &[Progress],
    ) -> Result<bool, PeerError> {
        count_call("report_progress");
        let mut request = self.client.report_progress_request();
        let mut params = request.get();
        params.set_instance(instance.as_str());
        params.set_incarnation(incarnation.0);
        params.set_shard(shard.to_smolstr().as_str());
        encode::progress_list(params.init_attempts(attempts.len() as u32), attempts);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        Ok(response.get()?.get_holder())
    }

    pub async fn push_change(&self, change: &Change) -> Result<Version, PeerError> {
        count_call("push_change");
        let mut request = self.client.push_change_request();
        encode::change(request.get().init_change(), change);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        Ok(Version(response.get()?.get_version()))
    }

    pub async fn changes_since(
        &self,
        version: Version,
    ) -> Result<(Vec<Change>, Version), PeerError> {
        count_call("changes_since");
        let mut request = self.client.changes_since_request();
        request.get().set_version(version.0);
        let response = self.with_timeout(TRANSFER_TIMEOUT, request.send().promise).await?;
        let response = response.get()?;
        let changes: Result<_, PeerError> =
            response.get_changes()?.iter().map(decode::change).collect();
        Ok((changes?, Version(response.get_version())))
    }

    pub async fn snapshot(&self) -> Result<(Version, String), PeerError> {
        count_call("snapshot");
        let request = self.client.snapshot_request();
        let response = self.with_timeout(TRANSFER_TIMEOUT, request.send().promise).await?;
        let response = response.get()?;
        Ok((Version(response.get_version()), response.get_text()?.to_str()?.into()))
    }

    pub async fn note_version(
        &self,
        version: Version,
        witness: Incarnation,
    ) -> Result<bool, PeerError> {
        count_call("note_version");
        let mut request = self.client.note_version_request();
        request.get().set_version(version.0);
        request.get().set_witness_incarnation(witness.0);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        Ok(response.get()?.get_noted())
    }

    pub async fn noted_version(&self, witness: Incarnation) -> Result<Option<Version>, PeerError> {
        count_call("noted_version");
        let mut request = self.client.noted_version_request();
        request.get().set_witness_incarnation(witness.0);
        let response = self.with_timeout(CALL_TIMEOUT, request.send().promise).await?;
        let response = response.get()?;
        Ok(response.get_valid().then(|| Version(response.get_version())))
    }
}

/// Counts a call by its method.
fn count_call(method: &'static str) {
    counter!("almondroad_peer_calls_total", "method" => method).increment(1);
}
