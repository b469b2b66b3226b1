use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use crate::clock::{Clock, Instant};
use crate::pool::{Plan, Progress};
use crate::units::{
    AttemptId, Fingerprint, Incarnation, InstanceId, OrganisationId, Pieces, ShardId, Tokens,
};

/// Attempts that this instance is running, reported to the owners of their pools each second.
#[derive(Debug)]
pub struct LiveAttempts {
    instance: InstanceId,
    incarnation: Incarnation,
    next_sequence: Cell<u64>,
    attempts: RefCell<HashMap<AttemptId, LiveAttempt>>,
}

/// A running attempt, as it is reported to the owner of its pool.
#[derive(Clone, Debug)]
pub struct LiveAttempt {
    pub shard: ShardId,
    pub organisation: OrganisationId,
    pub plan: Plan,
    pub pieces: Pieces,
    pub output_tokens: Tokens,
    pub deadline: Instant,
    pub fingerprint: Fingerprint,
    pub is_suspect: bool,
    /// Output length from which a death of the decode endpoint is no longer attributed to the
    /// request.
    pub proof_tokens: Tokens,
}

impl LiveAttempts {
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> LiveAttempts {
        LiveAttempts {
            instance,
            incarnation,
            next_sequence: Cell::new(0),
            attempts: RefCell::default(),
        }
    }

    /// Returns a new attempt id of this instance.
    pub fn next_id(&self) -> AttemptId {
        let sequence = self.next_sequence.get() + 1;
        self.next_sequence.set(sequence);
        AttemptId { instance: self.instance.clone(), incarnation: self.incarnation, sequence }
    }

    pub fn len(&self) -> usize {
        self.attempts.borrow().len()
    }

    pub fn is_empty(&self) -> bool {
        self.attempts.borrow().is_empty()
    }

    pub fn insert(&self, attempt: &AttemptId, live: LiveAttempt) {
        self.attempts.borrow_mut().insert(attempt.clone(), live);
    }

    /// Records the output length. Returns whether this is the attempt's first token.
    pub fn record_progress(&self, attempt: &AttemptId, output_tokens: Tokens) -> bool {
        let mut attempts = self.attempts.borrow_mut();
        let Some(live) = attempts.get_mut(attempt) else { return false };
        let before = std::mem::replace(&mut live.output_tokens, output_tokens);
        before == Tokens(0)
    }

    pub fn remove(&self, attempt: &AttemptId) {
        self.attempts.borrow_mut().remove(attempt);
    }

    /// Complete lists of live attempts, grouped by pool.
    pub fn reports(&self, clock: &impl Clock) -> HashMap<ShardId, Vec<Progress>> {
        let now = clock.now();
        let mut reports: HashMap<ShardId, Vec<Progress>> = HashMap::new();
        for (attempt, live) in self.attempts.borrow().iter() {
            let progress = live.progress(attempt, now);
            reports.entry(live.shard.clone()).or_default().push(progress);
        }
        reports
    }

    /// Report of one attempt, with its pool.
    pub fn report(&self, attempt: &AttemptId, clock: &impl Clock) -> Option<(ShardId, Progress)> {
        let attempts = self.attempts.borrow();
        let live = attempts.get(attempt)?;
        Some((live.shard.clone(), live.progress(attempt, clock.now())))
    }
}

impl LiveAttempt {
    fn progress(&self, attempt: &AttemptId, now: Instant) -> Progress {
        Progress {
            attempt: attempt.clone(),
            output_tokens: self.output_tokens,
            organisation: self.organisation.clone(),
            prefill: self.plan.prefill.clone(),
            decode: self.plan.decode.clone(),
            pieces: self.pieces,
            remaining_ms: self.deadline.ms_since(now),
            fingerprint: self.fingerprint,
            is_suspect: self.is_suspect,
            proof_tokens: self.proof_tokens,
        }
    }
}
