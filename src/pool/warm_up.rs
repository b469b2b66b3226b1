/// Limits the slots of an endpoint to a multiple of the load that it has handled, as in slow start.
#[derive(Clone, Debug)]
pub(crate) struct WarmUp {
    /// Slots that may be used now.
    limit: u32,
    /// Configured slots.
    slots: u32,
    tokens: u64,
    attempt_ms: u64,
    successes: u32,
    failures: u32,
    peak_used: u32,
    /// Moving average of the tokens per second of one attempt.
    average_tokens_per_s: Option<f64>,
}

impl WarmUp {
    const INITIAL_SLOTS: u32 = 2;
    /// One token every 64 ms, the target time between tokens.
    const TARGET_TOKENS_PER_S: f64 = 1000.0 / 64.0;
    /// Ratio to the average token rate below which an endpoint counts as slowed down. A batch that
    /// grows within the slot limit slows an attempt by less than this.
    const SLOWDOWN_RATIO: f64 = 0.35;
    /// Shorter observations vary too much with the timing of the gateways' reports.
    const MIN_OBSERVED_MS: u64 = 300;

    pub fn new(slots: u32) -> WarmUp {
        WarmUp {
            limit: slots.min(WarmUp::INITIAL_SLOTS),
            slots,
            tokens: 0,
            attempt_ms: 0,
            successes: 0,
            failures: 0,
            peak_used: 0,
            average_tokens_per_s: None,
        }
    }

    pub fn limit(&self) -> u32 {
        self.limit
    }

    pub fn is_warm(&self) -> bool {
        self.limit >= self.slots
    }

    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.limit = self.limit.clamp(slots.min(WarmUp::INITIAL_SLOTS), slots);
    }

    /// Resets the limit to that of a cold endpoint.
    pub fn reset(&mut self) {
        self.limit = self.slots.min(WarmUp::INITIAL_SLOTS);
        self.clear_window();
    }

    pub fn record_used_slots(&mut self, used: u32) {
        self.peak_used = self.peak_used.max(used);
    }

    /// Raises the limit to the number of attempts that a new owner finds running.
    pub fn raise_limit_to(&mut self, used: u32) {
        self.limit = self.limit.max(used.min(self.slots));
    }

    pub fn record_tokens(&mut self, tokens: u64, elapsed_ms: u64) {
        self.tokens += tokens;
        self.attempt_ms += elapsed_ms;
    }

    pub fn record_success(&mut self) {
        self.successes += 1;
    }

    /// Records a failure. Repeated failures reset the limit at once, because waiting for the next
    /// tick would lose a second of new work.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        if self.failures >= 2 && self.failures > self.successes {
            self.reset();
            self.failures = 2;
        }
    }

    /// Doubles the limit if the token rate met the target, or resets it after a drop. Called once a
    /// second.
    pub fn tick(&mut self) {
        let rate = (self.attempt_ms >= WarmUp::MIN_OBSERVED_MS)
            .then(|| self.tokens as f64 * 1000.0 / self.attempt_ms as f64);
        let dropped = match (rate, self.average_tokens_per_s) {
            (Some(rate), Some(average)) => rate < average * WarmUp::SLOWDOWN_RATIO,
            _ => false,
        };
        if let Some(rate) = rate {
            // A drop changes the average slowly, so that a slow endpoint stays cold until it
            // recovers.
            let share = if dropped { 0.05 } else { 0.3 };
            let average = self.average_tokens_per_s.unwrap_or(rate);
            self.average_tokens_per_s = Some(average + (rate - average) * share);
        }
        if dropped {
            return self.reset();
        }
        let in_target = match rate {
            Some(rate) => rate >= WarmUp::TARGET_TOKENS_PER_S,
            None => self.successes > 0,
        };
        let demonstrated = self.peak_used.saturating_mul(2) >= self.limit;
        if in_target && demonstrated && self.failures == 0 {
            self.limit = self.limit.saturating_mul(2).min(self.slots);
        }
        self.clear_window();
    }

    fn clear_window(&mut self) {
        (self.tokens, self.attempt_ms) = (0, 0);
        (self.successes, self.failures, self.peak_used) = (0, 0, 0);
    }
}
