use crate::clock::Instant;
use crate::units::Tokens;

/// Recent rate of charges, as an exponentially decaying sum.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    tokens: f64,
    charges: f64,
    noted_at: Instant,
}

impl Demand {
    const DECAY_MS: f64 = 1_000.0;
    const AHEAD_MS: f64 = 200.0;

    pub fn new(now: Instant) -> Demand {
        Demand { tokens: 0.0, charges: 0.0, noted_at: now }
    }

    pub fn note(&mut self, tokens: Tokens, now: Instant) {
        self.decay(now);
        self.tokens += tokens.0 as f64;
        self.charges += 1.0;
    }

    fn decay(&mut self, now: Instant) {
        let factor = (-(now.ms_since(self.noted_at) as f64) / Demand::DECAY_MS).exp();
        self.tokens *= factor;
        self.charges *= factor;
        self.noted_at = now;
    }

    /// Tokens to hold ahead of demand. Zero if that is less than one mean charge, because such
    /// tokens would serve no request and only be returned.
    pub fn ahead(&mut self, now: Instant) -> Tokens {
        self.decay(now);
        let ahead = self.tokens * Demand::AHEAD_MS / Demand::DECAY_MS;
        let mean = self.tokens / self.charges.max(1.0);
        if ahead < mean { Tokens(0) } else { Tokens(ahead as u64) }
    }
}
