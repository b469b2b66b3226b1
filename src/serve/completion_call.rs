use std::time::Duration;

use crate::clock::{Clock, Instant};
use crate::config::Model;
use crate::pool::PriorityClass;
use crate::units::{Fingerprint, ModelId, OrganisationId, RequestId, Tokens};

/// An authenticated and validated completion request.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    pub organisation: OrganisationId,
    /// Id chosen by the caller; repeats of it are refused as duplicates.
    pub request: Option<RequestId>,
    pub model: ModelId,
    pub model_limits: Model,
    pub prompt: String,
    pub max_output_tokens: Tokens,
    pub class: PriorityClass,
    pub deadline: Instant,
    pub queue_deadline: Instant,
    /// Until when the request waits for a missing shard holder. A missing holder is no overload, so
    /// this wait does not count as queue time.
    pub holder_deadline: Instant,
    pub fingerprint: Fingerprint,
}

impl CompletionCall {
    /// Upper bound of the prompt's token count, used until an engine has counted the tokens.
    pub fn prompt_tokens_bound(&self) -> Tokens {
        prompt_tokens_bound(&self.prompt, &self.model_limits)
    }

    pub fn remaining(&self, clock: &impl Clock) -> Duration {
        self.deadline.remaining(clock.now())
    }

    /// Returns a copy with this queue deadline, capped by the request's deadline.
    pub fn with_queue_deadline(&self, queue_deadline: Instant) -> CompletionCall {
        let queue_deadline = queue_deadline.min(self.deadline);
        let holder_deadline = self.holder_deadline.max(queue_deadline);
        CompletionCall { queue_deadline, holder_deadline, ..self.clone() }
    }

    /// Returns a copy whose queue deadline is extended by a wait for a missing shard holder.
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
