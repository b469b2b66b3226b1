use crate::clock::Instant;
use crate::pool::PriorityClass;
use crate::pool::queue_kind::QueueKind;
use crate::units::{EndpointId, Fingerprint, OrganisationId, Tokens};

/// Reservation of an admitted attempt.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub organisation: OrganisationId,
    pub fingerprint: Fingerprint,
    pub is_suspect: bool,
    pub proof_tokens: Tokens,
    pub class: PriorityClass,
    pub prefill: EndpointId,
    pub decode: EndpointId,
    pub admitted_at: Instant,
    /// Time of the last report that contained the attempt, initially that of its admission.
    pub last_reported_at: Instant,
    pub output_tokens: Tokens,
    /// Upper bound of the prompt's length, until an engine's list has shown how much memory the
    /// prompt takes.
    pub unmeasured_prompt_tokens: Option<Tokens>,
    pub prefix_hashes: Vec<u64>,
    /// Cost of the prefill alone.
    pub prefill_cost: f64,
    pub cost_per_output_token: f64,
    /// Output tokens charged to the organisation at admission.
    pub charged_tokens: Tokens,
}

impl Reservation {
    /// Whether the attempt has produced enough output to be ruled out as the cause of a crash of
    /// its decode endpoint.
    pub fn is_proven_safe(&self) -> bool {
        self.output_tokens >= self.proof_tokens
    }

    /// Whether the attempt uses the endpoint. The prefill endpoint is released with the first
    /// token.
    pub fn runs_on(&self, endpoint: &EndpointId) -> bool {
        self.decode == *endpoint || (self.prefill == *endpoint && self.output_tokens.get() == 0)
    }

    pub fn queue_kind(&self) -> QueueKind {
        QueueKind::of(self.class, self.is_suspect)
    }

    /// Target time between tokens, for which an output token occupies its slot and memory.
    pub const MS_PER_OUTPUT_TOKEN: f64 = 64.0;

    /// Returns the part of the charged cost that an attempt with this output did not use.
    pub fn unused_cost(&self, output: Tokens) -> f64 {
        (self.charged_tokens - output).get() as f64 * self.cost_per_output_token
    }

    pub fn cost(&self) -> f64 {
        self.prefill_cost + self.charged_tokens.get() as f64 * self.cost_per_output_token
    }
}
