use crate::clock::Instant;
use crate::units::Tokens;

/// Rate of charges as an exponentially decaying sum, used to size the prefetch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    tokens: f64,
    charges: f64,
    updated_at: Instant,
}

impl Demand {
    const DECAY_MS: f64 = 1_000.0;
    const PREFETCH_MS: f64 = 200.0;

    pub fn new(now: Instant) -> Demand {
        Demand { tokens: 0.0, charges: 0.0, updated_at: now }
    }

    pub fn record(&mut self, tokens: Tokens, now: Instant) {
        self.decay(now);
        self.tokens += tokens.0 as f64;
        self.charges += 1.0;
    }

    fn decay(&mut self, now: Instant) {
        let factor = (-(now.ms_since(self.updated_at) as f64) / Demand::DECAY_MS).exp();
        self.tokens *= factor;
        self.charges *= factor;
        self.updated_at = now;
    }

    /// Tokens to hold for upcoming requests. Zero if that is less than the mean charge, because
    /// such tokens would serve no request and only be returned.
    pub fn prefetch_tokens(&mut self, now: Instant) -> Tokens {
        self.decay(now);
        let prefetch = self.tokens * Demand::PREFETCH_MS / Demand::DECAY_MS;
        let mean = self.tokens / self.charges.max(1.0);
        if prefetch < mean { Tokens(0) } else { Tokens(prefetch as u64) }
    }
}
