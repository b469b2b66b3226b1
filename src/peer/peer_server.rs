use std::rc::Rc;

use crate::peer::{PeerService, decode, encode};
use crate::peer_capnp::peer;
use crate::units::{Fingerprint, Incarnation, Version};

type CallResult = Result<(), capnp::Error>;

/// Decodes the calls of peers, passes them to the service and encodes its answers.
pub struct PeerServer<S> {
    service: Rc<S>,
}

impl<S: PeerService> PeerServer<S> {
    pub fn new(service: Rc<S>) -> PeerServer<S> {
        PeerServer { service }
    }
}

impl<S: PeerService> peer::Server for PeerServer<S> {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> CallResult {
        let heartbeat = decode::heartbeat(params.get()?.get_heartbeat()?)?;
        let answer = self.service.heartbeat(heartbeat);
        encode::heartbeat(results.get().init_heartbeat(), &answer);
        Ok(())
    }

    async fn ping(self: Rc<Self>, _: peer::PingParams, _: peer::PingResults) -> CallResult {
        Ok(())
    }

    async fn holders(
        self: Rc<Self>,
        params: peer::HoldersParams,
        mut results: peer::HoldersResults,
    ) -> CallResult {
        let shards = decode::shards(params.get()?.get_shards()?)?;
        let known = self.service.holders(&shards);
        encode::holdings(results.get().init_holdings(known.len() as u32), &known);
        Ok(())
    }

    async fn extend_lease(
        self: Rc<Self>,
        params: peer::ExtendLeaseParams,
        mut results: peer::ExtendLeaseResults,
    ) -> CallResult {
        let claim = decode::lease_claim(params.get()?.get_claim()?)?;
        results.get().set_granted(self.service.extend_lease(&claim));
        Ok(())
    }

    async fn consent_takeover(
        self: Rc<Self>,
        params: peer::ConsentTakeoverParams,
        mut results: peer::ConsentTakeoverResults,
    ) -> CallResult {
        let claim = decode::lease_claim(params.get()?.get_claim()?)?;
        results.get().set_granted(self.service.consent_takeover(&claim));
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: peer::HandOverParams,
        mut results: peer::HandOverResults,
    ) -> CallResult {
        let params = params.get()?;
        let shard = decode::parse(params.get_shard())?;
        let state = params.get_state()?.to_vec();
        results.get().set_accepted(self.service.hand_over(shard, state).await);
        Ok(())
    }

    async fn draw(
        self: Rc<Self>,
        params: peer::DrawParams,
        mut results: peer::DrawResults,
    ) -> CallResult {
        let request = decode::draw_request(params.get()?.get_request()?)?;
        let answer = self.service.draw(request);
        encode::draw_answer(results.get().init_answer(), &answer);
        Ok(())
    }

    async fn renew_parts(
        self: Rc<Self>,
        params: peer::RenewPartsParams,
        mut results: peer::RenewPartsResults,
    ) -> CallResult {
        let params = params.get()?;
        let shard = decode::parse(params.get_shard())?;
        let request = decode::part_request(params.get_request()?)?;
        let answer = self.service.renew_parts(&shard, request);
        encode::part_answer(results.get().init_answer(), &answer);
        Ok(())
    }

    async fn claim_request(
        self: Rc<Self>,
        params: peer::ClaimRequestParams,
        mut results: peer::ClaimRequestResults,
    ) -> CallResult {
        let params = params.get()?;
        let answer = self.service.claim_request(
            decode::parse(params.get_organisation())?,
            decode::parse(params.get_request())?,
            decode::parse(params.get_attempt())?,
        );
        encode::claim_reply(results.get().init_answer(), &answer);
        Ok(())
    }

    async fn finish_request(
        self: Rc<Self>,
        params: peer::FinishRequestParams,
        mut results: peer::FinishRequestResults,
    ) -> CallResult {
        let params = params.get()?;
        let is_holder = self.service.finish_request(
            decode::parse(params.get_organisation())?,
            decode::parse(params.get_request())?,
            decode::parse(params.get_attempt())?,
            params.get_completed(),
        );
        results.get().set_holder(is_holder);
        Ok(())
    }

    async fn report_claims(
        self: Rc<Self>,
        params: peer::ReportClaimsParams,
        mut results: peer::ReportClaimsResults,
    ) -> CallResult {
        let shard = decode::parse(params.get()?.get_shard())?;
        let claims = self.service.report_claims(&shard);
        encode::reported_claims(results.get().init_claims(claims.len() as u32), &claims);
        Ok(())
    }

    async fn admit(
        self: Rc<Self>,
        params: peer::AdmitParams,
        mut results: peer::AdmitResults,
    ) -> CallResult {
        let admission = decode::admission(params.get()?.get_admission()?)?;
        let answer = self.service.admit(admission).await;
        encode::admit_answer(results.get().init_answer(), &answer);
        Ok(())
    }

    async fn finish_attempt(
        self: Rc<Self>,
        params: peer::FinishAttemptParams,
        mut results: peer::FinishAttemptResults,
    ) -> CallResult {
        let params = params.get()?;
        let shard = decode::parse(params.get_shard())?;
        let finished = decode::finished_attempt(params.get_finished()?)?;
        let fingerprint = Fingerprint(params.get_fingerprint());
        let crashes = self.service.finish_attempt(shard, finished, fingerprint).await;
        results.get().set_crashes(crashes);
        Ok(())
    }

    async fn report_progress(
        self: Rc<Self>,
        params: peer::ReportProgressParams,
        mut results: peer::ReportProgressResults,
    ) -> CallResult {
        let params = params.get()?;
        let is_holder = self.service.report_progress(
            decode::parse(params.get_instance())?,
            Incarnation(params.get_incarnation()),
            decode::parse(params.get_shard())?,
            decode::progress_list(params.get_attempts()?)?,
        );
        results.get().set_holder(is_holder);
        Ok(())
    }

    async fn push_change(
        self: Rc<Self>,
        params: peer::PushChangeParams,
        mut results: peer::PushChangeResults,
    ) -> CallResult {
        let change = decode::change(params.get()?.get_change()?)?;
        results.get().set_version(self.service.push_change(change).await.0);
        Ok(())
    }

    async fn changes_since(
        self: Rc<Self>,
        params: peer::ChangesSinceParams,
        mut results: peer::ChangesSinceResults,
    ) -> CallResult {
        let (changes, version) = self.service.changes_since(Version(params.get()?.get_version()));
        let mut results = results.get();
        results.set_version(version.0);
        let mut list = results.init_changes(changes.len() as u32);
        for (i, change) in changes.iter().enumerate() {
            encode::change(list.reborrow().get(i as u32), change);
        }
        Ok(())
    }

    async fn snapshot(
        self: Rc<Self>,
        _: peer::SnapshotParams,
        mut results: peer::SnapshotResults,
    ) -> CallResult {
        let (version, text) = self.service.snapshot();
        let mut results = results.get();
        results.set_version(version.0);
        results.set_text(text.as_str());
        Ok(())
    }

    async fn note_version(
        self: Rc<Self>,
        params: peer::NoteVersionParams,
        mut results: peer::NoteVersionResults,
    ) -> CallResult {
        let params = params.get()?;
        let witness = Incarnation(params.get_witness_incarnation());
        let is_noted = self.service.note_version(Version(params.get_version()), witness);
        results.get().set_noted(is_noted);
        Ok(())
    }

    async fn noted_version(
        self: Rc<Self>,
        params: peer::NotedVersionParams,
        mut results: peer::NotedVersionResults,
    ) -> CallResult {
        let witness = Incarnation(params.get()?.get_witness_incarnation());
        if let Some(version) = self.service.noted_version(witness) {
            results.get().set_valid(true);
            results.get().set_version(version.0);
        }
        Ok(())
    }
}
