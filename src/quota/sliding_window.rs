use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;

use crate::clock::Instant;
use crate::units::{Tokens, TokensPerSecond};

/// Resolution of the window.
const SLOT_MS: u64 = 250;
/// Part of the limit from which on instances tell each other more often what they spent.
const NEARLY_SPENT_PART: f64 = 0.8;

/// An organisation's spending in the last window as one instance sees it: its own, and what its
/// peers report. A window may hold `rate x window + burst` tokens.
///
/// Instances that hear each other see the same sum, but for what was spent since the last
/// reports. Several may spend the same tokens at once; the excess counts in the window like any
/// other spending, so that it never adds up.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    window_ms: u64,
    rate_per_s: f64,
    burst: f64,
    /// Spent tokens by slot, oldest first.
    slots: VecDeque<(u64, f64)>,
    sum: f64,
    /// Tokens spent by this instance since its start.
    local_spent: u64,
    /// Count that each peer's run reported last.
    peers_spent: HashMap<(IpAddr, u64), u64>,
}

impl SlidingWindow {
    pub fn new(
        window_ms: u64,
        rate: TokensPerSecond,
        burst: Tokens,
        now: Instant,
    ) -> SlidingWindow {
        SlidingWindow {
            window_ms,
            rate_per_s: rate.get() as f64,
            burst: burst.get() as f64,
            slots: VecDeque::from([(now.as_ms() / SLOT_MS, 0.0)]),
            sum: 0.0,
            local_spent: 0,
            peers_spent: HashMap::new(),
        }
    }

    /// Treats the past window as fully spent, evenly. For an instance that starts while others
    /// run and does not know what they spent.
    pub fn assume_fully_spent(&mut self, now: Instant) {
        let count = self.window_ms / SLOT_MS;
        let newest = now.as_ms() / SLOT_MS;
        let each = self.limit() / count as f64;
        self.slots = (newest.saturating_sub(count - 1)..=newest).map(|slot| (slot, each)).collect();
        self.sum = each * self.slots.len() as f64;
    }

    pub fn set_limits(&mut self, rate: TokensPerSecond, burst: Tokens) {
        self.rate_per_s = rate.get() as f64;
        self.burst = burst.get() as f64;
    }

    fn limit(&self) -> f64 {
        self.rate_per_s * self.window_ms as f64 / 1000.0 + self.burst
    }

    fn advance(&mut self, now: Instant) {
        let oldest = now.as_ms().saturating_sub(self.window_ms) / SLOT_MS;
        while let Some((slot, spent)) = self.slots.front().copied() {
            if slot >= oldest {
                break;
            }
            self.sum -= spent;
            self.slots.pop_front();
        }
    }

    fn note(&mut self, tokens: f64, now: Instant) {
        let slot = now.as_ms() / SLOT_MS;
        self.sum += tokens;
        match self.slots.back_mut() {
            Some((newest, spent)) if *newest >= slot => *spent += tokens,
            _ => self.slots.push_back((slot, tokens)),
        }
    }

    /// Takes tokens, or returns the time until they are there. `share` is the part of the limit
    /// that is not left to instances that cannot be heard.
    pub fn try_acquire(&mut self, tokens: Tokens, now: Instant, share: f64) -> Result<(), u64> {
        self.advance(now);
        let tokens = tokens.get();
        let limit = self.limit() * share;
        let excess = self.sum + tokens as f64 - limit;
        if excess > 0.0 && self.sum > 0.0 {
            return Err(self.wait_ms(excess, now));
        }
        self.note(tokens as f64, now);
        self.local_spent += tokens;
        Ok(())
    }

    /// Whether little is left of the limit.
    pub fn is_near_limit(&mut self, now: Instant, share: f64) -> bool {
        self.advance(now);
        self.sum > self.limit() * share * NEARLY_SPENT_PART
    }

    /// Time until slots that hold `excess` tokens have left the window.
    fn wait_ms(&self, excess: f64, now: Instant) -> u64 {
        let mut freed = 0.0;
        for (slot, spent) in &self.slots {
            freed += spent;
            if freed >= excess {
                let leaves_at_ms = (slot + 1) * SLOT_MS + self.window_ms;
                return leaves_at_ms.saturating_sub(now.as_ms());
            }
        }
        self.window_ms
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: Tokens, now: Instant) {
        self.note(-(tokens.get() as f64), now);
        self.local_spent = self.local_spent.saturating_sub(tokens.get());
    }

    pub fn local_spent(&self) -> u64 {
        self.local_spent
    }

    /// Takes over what a peer's run has spent since its start. The first report of a run that
    /// began before this instance knew it only sets the baseline.
    pub fn record_peer_report(
        &mut self,
        (peer, run): (IpAddr, u64),
        spent: u64,
        is_new_run: bool,
        now: Instant,
    ) {
        self.peers_spent.retain(|(known, known_run), _| *known != peer || *known_run == run);
        let baseline = if is_new_run { 0 } else { spent };
        let known = self.peers_spent.entry((peer, run)).or_insert(baseline);
        let difference = spent as f64 - *known as f64;
        *known = spent;
        if difference != 0.0 {
            self.note(difference, now);
        }
    }
}
