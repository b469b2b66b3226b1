use std::collections::HashMap;
use std::net::IpAddr;

use crate::clock::Instant;
use crate::units::{Tokens, TokensPerSecond};

/// An organisation's token bucket as one instance sees it.
///
/// The level is the same at all instances that hear each other, but for what was spent since the
/// last reports. It may fall below zero when several instances spend the same tokens at once; the
/// debt is paid before anything else is admitted, so that the excess never adds up.
#[derive(Clone, Debug)]
pub struct SharedBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated_at: Instant,
    /// Tokens spent by this instance since its start.
    own_spent: u64,
    /// Highest count that each peer's run reported.
    peers_spent: HashMap<(IpAddr, u64), u64>,
}

impl SharedBucket {
    /// A bucket with `level` parts of its burst.
    pub fn new(rate: TokensPerSecond, burst: Tokens, level: f64, now: Instant) -> SharedBucket {
        let burst = burst.get() as f64;
        SharedBucket {
            rate_per_s: rate.get() as f64,
            burst,
            level: burst * level,
            updated_at: now,
            own_spent: 0,
            peers_spent: HashMap::new(),
        }
    }

    pub fn set_limits(&mut self, rate: TokensPerSecond, burst: Tokens, now: Instant, share: f64) {
        self.refill(now, share);
        self.rate_per_s = rate.get() as f64;
        self.burst = burst.get() as f64;
        self.level = self.level.min(self.burst);
    }

    /// Adds what the rate gave since the last call. `share` is the part of the rate that is not
    /// left to instances that cannot be heard.
    fn refill(&mut self, now: Instant, share: f64) {
        let elapsed_s = now.ms_since(self.updated_at) as f64 / 1000.0;
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + self.rate_per_s * share * elapsed_s).min(self.burst);
    }

    /// Takes tokens, or returns the time until they are there.
    pub fn take(&mut self, tokens: Tokens, now: Instant, share: f64) -> Result<(), u64> {
        self.refill(now, share);
        // A request larger than the burst passes when the bucket is full.
        let needed = (tokens.get() as f64).min(self.burst);
        if self.level < needed {
            let rate = (self.rate_per_s * share).max(1.0);
            return Err(((needed - self.level) / rate * 1000.0).ceil() as u64);
        }
        self.level -= tokens.get() as f64;
        self.own_spent += tokens.get();
        Ok(())
    }

    /// Gives back the tokens of a request that did not run. The count of spent tokens is not
    /// lowered, since peers may already have subtracted them; they get them back by `returned`.
    pub fn give_back(&mut self, tokens: Tokens) {
        self.level = (self.level + tokens.get() as f64).min(self.burst);
        self.own_spent = self.own_spent.saturating_sub(tokens.get());
    }

    pub fn own_spent(&self) -> u64 {
        self.own_spent
    }

    /// Takes over what a peer's run has spent since its start. The first report of a run that
    /// began before this instance knew it only sets the baseline.
    pub fn note_peer(&mut self, peer: IpAddr, run: u64, spent: u64, is_new_run: bool) {
        let baseline = if is_new_run { 0 } else { spent };
        let known = self.peers_spent.entry((peer, run)).or_insert(baseline);
        let difference = spent as f64 - *known as f64;
        *known = spent;
        self.level = (self.level - difference).min(self.burst);
    }

    /// Forgets the runs of a peer other than `run`.
    pub fn forget_other_runs(&mut self, peer: IpAddr, run: u64) {
        self.peers_spent.retain(|(known, known_run), _| *known != peer || *known_run == run);
    }
}
