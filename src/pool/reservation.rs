use crate::clock::Instant;
use crate::pool::PriorityClass;
use crate::pool::queue_kind::QueueKind;
use crate::units::{EndpointId, Fingerprint, OrganisationId, Tokens};

/// An admitted attempt.
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
    /// Last time that a report named the attempt, or its admission.
    pub last_reported_at: Instant,
    pub output_tokens: Tokens,
    /// Upper bound of the prompt, until an engine's list has shown the memory that it takes.
    pub unmeasured_prompt_tokens: Option<Tokens>,
    pub prefix_hashes: Vec<u64>,
    /// Cost without output.
    pub prefill_cost: f64,
    pub cost_per_output_token: f64,
    /// Output that was charged to the organisation at admission.
    pub charged_tokens: Tokens,
}

impl Reservation {
    /// Has produced so much output that its decode endpoint's death is not put down to it.
    pub fn is_proven_safe(&self) -> bool {
        self.output_tokens >= self.proof_tokens
    }

    /// Whether the attempt takes part of the endpoint: the prefill endpoint is done with the first
    /// token.
    pub fn runs_on(&self, endpoint: &EndpointId) -> bool {
        self.decode == *endpoint || (self.prefill == *endpoint && self.output_tokens.get() == 0)
    }

    pub fn queue_kind(&self) -> QueueKind {
        QueueKind::of(self.class, self.is_suspect)
    }

    /// The target between tokens: how long an output token keeps its slot and memory.
    pub const MS_PER_OUTPUT_TOKEN: f64 = 64.0;

    /// Part of the charged cost that an attempt with this output did not use.
    pub fn unused_cost(&self, output: Tokens) -> f64 {
        (self.charged_tokens - output).get() as f64 * self.cost_per_output_token
    }

    pub fn cost(&self) -> f64 {
        self.prefill_cost + self.charged_tokens.get() as f64 * self.cost_per_output_token
    }
}
