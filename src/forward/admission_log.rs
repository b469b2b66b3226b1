//! Demand by rank: measured for peers, counted in the metrics and logged for refused requests.

use std::net::IpAddr;

use derive_more::Display;
use metrics::{counter, gauge, histogram};

use crate::admission::ServiceReport;
use crate::catalog::RowDecoder;
use crate::clock::{Clock, Instant};
use crate::forward::request_context::RequestContext;
use crate::forward::{Codec, Forwarder};

/// Why a generation is refused without being sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(super) enum RefusalReason {
    /// The requests ahead of it cannot be placed within the time that it may wait.
    #[display("infeasible")]
    Infeasible,
    /// It has waited for as long as it may.
    #[display("full")]
    Full,
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Records the arrival of a generation.
    pub(super) fn record_offered(&self, context: &RequestContext<C>) {
        if let Some(rank) = context.rank {
            let (tokens, now) = (context.memory_estimate().expected_tokens, self.parts.clock.now());
            self.demand.borrow_mut().record_offered(&context.service.id, rank, tokens, now);
        }
    }

    /// Records that a generation has begun at an engine, or that it was refused.
    pub(super) fn record_admission(&self, context: &RequestContext<C>, is_admitted: bool) {
        let Some(rank) = context.rank else { return };
        let (tokens, now) = (context.memory_estimate().expected_tokens, self.parts.clock.now());
        let (service, mut demand) = (&context.service.id, self.demand.borrow_mut());
        if is_admitted {
            demand.record_admitted(service, rank, tokens, now);
        } else {
            demand.record_refused(service, rank, tokens, now);
        }
    }

    /// Records how long a request has waited for room.
    pub(super) fn record_wait(&self, context: &RequestContext<C>, now: Instant) {
        let wait_s = now.ms_since(context.log.started_at) as f64 / 1_000.0;
        histogram!("almondroad_node_admission_wait_seconds", "rank" => rank_label(context))
            .record(wait_s);
        counter!("almondroad_node_admission_total", "rank" => rank_label(context),
            "outcome" => "placed")
        .increment(1);
    }

    /// Counts and logs the refusal of a request for lack of room.
    pub(super) fn record_refusal(
        &self,
        context: &RequestContext<C>,
        reason: RefusalReason,
        expected_wait_ms: u64,
    ) {
        let now = self.parts.clock.now();
        counter!("almondroad_node_admission_total", "rank" => rank_label(context),
            "outcome" => reason.to_string())
        .increment(1);
        log::info!(target: "admission",
            request = context.request.attempt.as_str(),
            service = context.service.id.as_str(),
            rank = rank_label(context).as_str(),
            reason = reason.to_string().as_str(),
            memory_tokens = context.memory_estimate().expected_tokens,
            queued = self.wait_queue(&context.service.id).len(),
            expected_wait_ms = expected_wait_ms,
            waited_ms = now.ms_since(context.log.started_at),
            remaining_ms = context.deadline.ms_since(now); "refused for lack of room");
    }

    /// Demand at this instance by service and rank, as reported to peers.
    pub fn demand_reports(&self, now: Instant) -> Vec<ServiceReport> {
        let reports = self
            .demand
            .borrow()
            .reports(now, |service, rank| self.wait_queue(service).waiting_tokens(rank));
        for class in reports.iter().flat_map(|service| &service.classes) {
            let rank = class.rank.to_string();
            gauge!("almondroad_node_admission_waiting_tokens", "rank" => rank.clone())
                .set(f64::from(class.waiting_tokens));
            gauge!("almondroad_node_admission_offered_tokens_per_second", "rank" => rank)
                .set(f64::from(class.offered_tokens_per_s));
        }
        reports
    }

    /// Records the demand at a peer.
    pub fn record_peer_demand(&self, peer: IpAddr, reports: Vec<ServiceReport>, now: Instant) {
        self.demand.borrow_mut().set_peer_report(peer, reports, now);
    }

    /// Forgets the demand at a peer that has left or failed.
    pub fn remove_peer_demand(&self, peer: IpAddr) {
        self.demand.borrow_mut().remove_peer(peer);
    }
}

fn rank_label<C: Clock>(context: &RequestContext<C>) -> String {
    context.rank.map_or_else(|| "none".to_owned(), |rank| rank.to_string())
}
