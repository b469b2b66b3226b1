use std::cell::RefCell;
use std::collections::HashSet;

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};
use smol_str::{SmolStr, ToSmolStr};

use crate::clock::{Clock, Instant};
use crate::gateway::Node;
use crate::serve::{CompletionCall, RequestProgress, ServeError};
use crate::units::OrganisationId;

/// Maximum organisations with a label of their own. Further ones share a label, which bounds the
/// memory for metrics with 11,000 organisations.
const MAX_ORGANISATION_LABELS: usize = 100;
const OTHER_ORGANISATIONS: &str = "other";

const LATENCY_BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.02, 0.04, 0.064, 0.1, 0.15, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 20.0];
const TOKEN_BUCKETS: [f64; 10] =
    [16.0, 64.0, 128.0, 256.0, 512.0, 1024.0, 4096.0, 16384.0, 32768.0, 65536.0];

/// Metrics of the request path, rendered in the Prometheus text format.
pub struct GatewayMetrics {
    handle: PrometheusHandle,
    organisations: RefCell<HashSet<OrganisationId>>,
}

impl GatewayMetrics {
    /// Installs the process-wide metrics recorder.
    pub fn install() -> Result<GatewayMetrics, BuildError> {
        let seconds = Matcher::Suffix("_seconds".into());
        let tokens = Matcher::Suffix("_tokens".into());
        let handle = PrometheusBuilder::new()
            .set_buckets_for_metric(seconds, &LATENCY_BUCKETS_S)?
            .set_buckets_for_metric(tokens, &TOKEN_BUCKETS)?
            .install_recorder()?;
        Ok(GatewayMetrics { handle, organisations: RefCell::default() })
    }

    pub fn render(&self) -> String {
        self.handle.render()
    }

    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }

    fn label(&self, organisation: &OrganisationId) -> SmolStr {
        let mut known = self.organisations.borrow_mut();
        if known.contains(organisation) {
            return organisation.to_smolstr();
        }
        if known.len() < MAX_ORGANISATION_LABELS {
            known.insert(organisation.clone());
            return organisation.to_smolstr();
        }
        OTHER_ORGANISATIONS.into()
    }

    pub fn record_token(
        &self,
        call: &CompletionCall,
        last_token_at: Option<Instant>,
        now: Instant,
    ) {
        let Some(last) = last_token_at else { return };
        let between_s = now.ms_since(last) as f64 / 1000.0;
        let organisation = self.label(&call.organisation).to_string();
        histogram!("almondroad_between_tokens_seconds",
            "organisation" => organisation, "class" => call.class.to_string())
        .record(between_s);
    }

    /// Records the end of a request. `ended` is `None` if the caller disconnected.
    pub fn record_request_end(
        &self,
        call: &CompletionCall,
        progress: &RequestProgress,
        started_at: Instant,
        ended: Option<&Result<SmolStr, ServeError>>,
    ) {
        let organisation = self.label(&call.organisation).to_string();
        let class = call.class.to_string();
        if let Some(first) = progress.first_token_at {
            let first_s = first.ms_since(started_at) as f64 / 1000.0;
            histogram!("almondroad_first_token_seconds",
                "organisation" => organisation.clone(), "class" => class.clone())
            .record(first_s);
        }
        histogram!("almondroad_request_tokens",
            "organisation" => organisation.clone(), "class" => class)
        .record(progress.used_tokens().get() as f64);
        let result = match ended {
            None => "caller_gone",
            Some(Ok(_)) => "completed",
            Some(Err(error)) => error.code(),
        };
        counter!("almondroad_requests_total",
            "organisation" => organisation, "result" => result)
        .increment(1);
    }

    pub fn record_refusal(&self, error: &ServeError) {
        counter!("almondroad_refusals_total", "code" => error.code()).increment(1);
    }

    /// Updates the gauges that describe the instance.
    pub fn record_state(node: &Node) {
        let confirmation = node.configuration.confirmation();
        gauge!("almondroad_configuration_version").set(confirmation.version.0 as f64);
        gauge!("almondroad_configuration_age_seconds")
            .set(confirmation.confirmed_age_ms as f64 / 1000.0);
        gauge!("almondroad_requests_in_flight").set(f64::from(node.in_flight.count()));
        gauge!("almondroad_live_peers").set(node.membership.live_peers().len() as f64);
        gauge!("almondroad_clock_seconds").set(node.clock.now().as_ms() as f64 / 1000.0);
    }
}
