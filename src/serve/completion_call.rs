use std::time::Duration;

use crate::clock::{Clock, Instant};
use crate::config::Model;
use crate::pool::PriorityClass;
use crate::units::{Fingerprint, ModelId, OrganisationId, RequestId, Tokens};

/// An authenticated and checked request for a completion.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    pub organisation: OrganisationId,
    /// Set if the caller chose an id; repeats of it are answered once.
    pub request: Option<RequestId>,
    pub model: ModelId,
    pub model_limits: Model,
    pub prompt: String,
    pub max_output_tokens: Tokens,
    pub class: PriorityClass,
    pub deadline: Instant,
    pub queue_deadline: Instant,
    /// How long the request waits while an owner is missing. That is no overload, so such a wait is
    /// no part of the queue time.
    pub holder_deadline: Instant,
    pub fingerprint: Fingerprint,
}

impl CompletionCall {
    /// Upper bound of the prompt's tokens, before an engine has counted them.
    pub fn prompt_tokens_bound(&self) -> Tokens {
        prompt_tokens_bound(&self.prompt, &self.model_limits)
    }

    pub fn remaining(&self, clock: &impl Clock) -> Duration {
        self.deadline.remaining(clock.now())
    }

    /// The same request with more time in the pools' queues.
    pub fn with_queue_deadline(&self, queue_deadline: Instant) -> CompletionCall {
        let queue_deadline = queue_deadline.min(self.deadline);
        let holder_deadline = self.holder_deadline.max(queue_deadline);
        CompletionCall { queue_deadline, holder_deadline, ..self.clone() }
    }

    /// The same request with its queue time prolonged by a wait for a missing owner.
    pub fn with_queue_extended_by(&self, waited_ms: u64) -> CompletionCall {
        self.with_queue_deadline(self.queue_deadline.plus_ms(waited_ms))
    }

    pub fn priority(&self) -> u8 {
        match self.class {
            PriorityClass::Interactive => 1,
            PriorityClass::Waiting => 0,
        }
    }
}

pub fn prompt_tokens_bound(prompt: &str, model: &Model) -> Tokens {
    Tokens((prompt.len() as u64).div_ceil(model.min_bytes_per_token.max(1)).max(1))
}
