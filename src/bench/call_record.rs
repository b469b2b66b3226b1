use std::fmt;

use smol_str::SmolStr;

use crate::bench::Prompt;

/// Result and timing of one request, as its caller saw them.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub organisation: SmolStr,
    /// Address of the instance that the request was sent to.
    pub address: SmolStr,
    pub request_id: Option<SmolStr>,
    pub prompt: String,
    pub max_tokens: u64,
    /// Milliseconds since the start of the experiment.
    pub sent_at_ms: u64,
    pub ended_at_ms: u64,
    pub ending: Ending,
    pub first_token_ms: Option<u64>,
    /// Longest time between two tokens.
    pub longest_gap_ms: u64,
    /// Sum of the times between tokens.
    pub decode_ms: u64,
    pub text: String,
    pub output_tokens: u64,
    pub prompt_tokens: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived.
    Complete,
    /// The response was an error.
    Refused { status: u16, code: SmolStr, outcome: SmolStr },
    /// The stream ended early or with an error after it had started.
    Cut { code: SmolStr },
    /// The connection could not be opened, or it broke before a response.
    NoAnswer,
    /// The caller cancelled the request.
    Cancelled,
}

impl fmt::Display for CallRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CallRecord { organisation, address, sent_at_ms, ended_at_ms, ending, .. } = self;
        write!(f, "{organisation} at {address}, {sent_at_ms} to {ended_at_ms} ms: {ending:?}")
    }
}

impl CallRecord {
    /// Creates the record of a request that has no response yet.
    pub fn sent(prompt: &Prompt, address: SmolStr, sent_at_ms: u64) -> CallRecord {
        CallRecord {
            organisation: prompt.organisation.clone(),
            address,
            request_id: prompt.request_id.clone(),
            prompt: prompt.text.clone(),
            max_tokens: prompt.max_tokens,
            sent_at_ms,
            ended_at_ms: 0,
            ending: Ending::NoAnswer,
            first_token_ms: None,
            longest_gap_ms: 0,
            decode_ms: 0,
            text: String::new(),
            output_tokens: 0,
            prompt_tokens: 0,
        }
    }

    /// Records a token that arrived `gap_ms` after the previous one or, for the first, after the
    /// request.
    pub fn record_token(&mut self, gap_ms: u64) {
        self.output_tokens += 1;
        if self.first_token_ms.is_none() {
            self.first_token_ms = Some(gap_ms);
        } else {
            self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
            self.decode_ms += gap_ms;
        }
    }

    pub fn is_refused(&self) -> bool {
        matches!(self.ending, Ending::Refused { .. })
    }

    pub fn is_refused_with(&self, wanted: &str) -> bool {
        matches!(&self.ending, Ending::Refused { code, .. } if code == wanted)
    }

    /// Whether the request got no response or a truncated one.
    pub fn is_broken(&self) -> bool {
        matches!(self.ending, Ending::NoAnswer | Ending::Cut { .. })
    }

    pub fn is_complete(&self) -> bool {
        self.ending == Ending::Complete
    }

    /// Returns the mean time between tokens.
    pub fn mean_gap_ms(&self) -> f64 {
        if self.output_tokens < 2 {
            return 0.0;
        }
        self.decode_ms as f64 / (self.output_tokens - 1) as f64
    }
}
