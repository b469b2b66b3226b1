use std::rc::Rc;

use metrics::{counter, histogram};
use smol_str::SmolStr;

use crate::clock::{Clock, Instant};
use crate::forward::{Generation, RequestLabels};

/// Log line and metrics of a request, written on drop, so that requests whose caller disconnects
/// are included.
#[derive(Debug)]
pub struct RequestLog<C: Clock> {
    clock: C,
    labels: Rc<RequestLabels>,
    pub request: SmolStr,
    pub route: SmolStr,
    pub organisation: SmolStr,
    pub configuration_version: u64,
    /// Token counts of a generation: prompt, estimated output and maximum output.
    pub size: SmolStr,
    pub started_at: Instant,
    /// Shared parts of the prompt, separated by commas, if a connection broke under the request.
    pub broken_parts: String,
    /// Attempts in order, as `stage:endpoint:result@ms` separated by spaces.
    pub sends: String,
    first_response_ms: Option<u64>,
    outcome: Option<&'static str>,
}

impl<C: Clock> RequestLog<C> {
    pub fn new(clock: C, labels: Rc<RequestLabels>, request: SmolStr) -> RequestLog<C> {
        let started_at = clock.now();
        RequestLog {
            clock,
            labels,
            request,
            route: SmolStr::default(),
            organisation: SmolStr::default(),
            configuration_version: 0,
            size: SmolStr::default(),
            started_at,
            broken_parts: String::new(),
            sends: String::new(),
            first_response_ms: None,
            outcome: None,
        }
    }

    pub fn record_send(&mut self, stage: &str, endpoint: &str, result: &str) {
        use std::fmt::Write;
        let at_ms = self.clock.now().ms_since(self.started_at);
        let separator = if self.sends.is_empty() { "" } else { " " };
        // Writing to a string cannot fail.
        let _ = write!(self.sends, "{separator}{stage}:{endpoint}:{result}@{at_ms}");
    }

    /// Records the prompt's shared parts after a connection broke under the request.
    pub fn record_broken(&mut self, generation: &Generation) {
        if self.broken_parts.is_empty() {
            let parts = generation.shared_parts.iter().map(ToString::to_string);
            let parts: Vec<String> = parts.collect();
            self.broken_parts = parts.join(",");
        }
    }

    pub fn record_first_response(&mut self) {
        let now = self.clock.now();
        self.first_response_ms.get_or_insert(now.ms_since(self.started_at));
    }

    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = Some(outcome);
    }
}

impl<C: Clock> Drop for RequestLog<C> {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or("caller_gone");
        let total_ms = self.clock.now().ms_since(self.started_at);
        log::info!(target: "forward",
            request = self.request.as_str(), route = self.route.as_str(),
            organisation = self.organisation.as_str(),
            configuration = self.configuration_version, outcome = outcome,
            size = self.size.as_str(), broken_parts = self.broken_parts.as_str(),
            sends = self.sends.as_str(), first_ms = self.first_response_ms.unwrap_or(0),
            total_ms = total_ms; "request ended");
        let organisation = self.labels.organisations.label_for(&self.organisation).to_string();
        counter!("almondroad_node_requests_total", "outcome" => outcome,
            "organisation" => organisation.clone())
        .increment(1);
        if let Some(first_ms) = self.first_response_ms {
            let first_s = first_ms as f64 / 1000.0;
            let route = self.labels.routes.label_for(&self.route).to_string();
            histogram!("almondroad_node_first_answer_seconds", "route" => route).record(first_s);
            histogram!("almondroad_node_organisation_first_answer_seconds",
                "organisation" => organisation)
            .record(first_s);
        }
    }
}
