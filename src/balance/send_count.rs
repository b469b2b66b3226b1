//! Counts the sends of one request against the retry limit of its service.

/// What a send asks of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// Only the prefill. The first one that an endpoint accepts does not count.
    Prefill,
    /// The whole request, or its decode stage.
    Run,
}

/// What became of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The request certainly did not reach the endpoint.
    NotArrived,
    /// The endpoint accepted the request.
    Accepted,
    /// The endpoint rejected the request, or it is unknown whether it did.
    NotAccepted,
}

/// A send that has begun. Until it is finished it counts as a send that was not accepted.
#[derive(Debug)]
#[must_use]
pub struct StartedSend {
    kind: SendKind,
    is_retry: bool,
}

/// Sends of one request that reached an endpoint. All but the first are retries.
#[derive(Clone, Debug, Default)]
pub struct SendCount {
    counted: u32,
    is_prefill_accepted: bool,
}

impl SendCount {
    /// Whether the next send is a retry if it reaches an endpoint.
    pub fn is_next_retry(&self) -> bool {
        self.counted > 0
    }

    pub fn begin(&mut self, kind: SendKind) -> StartedSend {
        let is_retry = self.is_next_retry();
        self.counted += 1;
        StartedSend { kind, is_retry }
    }

    /// Records the outcome of a send. Returns whether it was counted as a retry and is none.
    pub fn finish(&mut self, send: StartedSend, outcome: SendOutcome) -> bool {
        let is_first_accepted_prefill = send.kind == SendKind::Prefill
            && outcome == SendOutcome::Accepted
            && !self.is_prefill_accepted;
        self.is_prefill_accepted |= is_first_accepted_prefill;
        if outcome != SendOutcome::NotArrived && !is_first_accepted_prefill {
            return false;
        }
        self.counted -= 1;
        send.is_retry
    }
}
