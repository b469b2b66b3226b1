use std::collections::VecDeque;

use crate::clock::Instant;
use crate::units::{Tokens, TokensPerSecond};

/// Length of a slot, the resolution of the window.
const SLOT_MS: u64 = 250;
/// Number of slots over which the rate of the peers' usage is measured.
const RATE_SLOTS: u64 = 4;
/// Fraction of the limit above which instances report their usage to each other more often.
const NEAR_LIMIT_FRACTION: f64 = 0.8;

/// Age of tokens that a peer returns. Requests wait for room for at most this long before they are
/// refused; counted as older than they are, their tokens only stay in the window for longer.
const PEER_REFUND_AGE_MS: u64 = 1_500;

/// Sliding window over an organisation's token usage as seen by one instance: its own usage and the
/// usage that peers report. The limit of a window is `rate x window + burst` tokens.
///
/// Connected instances see the same sum except for usage since the last reports. It is estimated from
/// the rate of the peers' usage and the age of their reports: without that, instances admit requests
/// against tokens that others have spent already. What is admitted in excess counts in the window
/// like any other usage, so that it does not accumulate.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    window_ms: u64,
    rate_per_s: f64,
    burst: f64,
    /// Slot numbers with the tokens spent in them, oldest first.
    slots: VecDeque<(u64, f64)>,
    sum: f64,
    /// The part of the newest slots that peers have spent, oldest first.
    peer_slots: VecDeque<(u64, f64)>,
    /// Tokens spent by this instance since it started.
    local_spent: u64,
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
            peer_slots: VecDeque::new(),
            local_spent: 0,
        }
    }

    /// Treats the past window as fully and evenly spent. Used by an instance that starts while
    /// others run, since it does not know their usage.
    pub fn assume_fully_spent(&mut self, now: Instant) {
        let count = self.window_ms / SLOT_MS;
        let newest = now.as_ms() / SLOT_MS;
        let tokens_per_slot = self.limit() / count as f64;
        self.slots = (newest.saturating_sub(count - 1)..=newest)
            .map(|slot| (slot, tokens_per_slot))
            .collect();
        self.sum = tokens_per_slot * self.slots.len() as f64;
    }

    pub fn set_limits(&mut self, rate: TokensPerSecond, burst: Tokens) {
        self.rate_per_s = rate.get() as f64;
        self.burst = burst.get() as f64;
    }

    fn limit(&self) -> f64 {
        self.rate_per_s * self.window_ms as f64 / 1000.0 + self.burst
    }

    fn drop_expired_slots(&mut self, now: Instant) {
        let oldest = now.as_ms().saturating_sub(self.window_ms) / SLOT_MS;
        while let Some((slot, spent)) = self.slots.front().copied() {
            if slot >= oldest {
                break;
            }
            self.sum -= spent;
            self.slots.pop_front();
        }
    }

    fn add(&mut self, tokens: f64, now: Instant) {
        self.sum += tokens;
        add_to_newest(&mut self.slots, tokens, now);
    }

    /// Takes tokens out of the slot in which they were counted, or the next older one that is known.
    /// Taken out of a newer slot, they would be missing from the window once the older one has left.
    fn take_out(&mut self, tokens: f64, counted_at: Instant) {
        let slot = counted_at.as_ms() / SLOT_MS;
        let at = self.slots.partition_point(|(known, _)| *known <= slot);
        if let Some((_, spent)) = at.checked_sub(1).and_then(|at| self.slots.get_mut(at)) {
            *spent -= tokens;
            self.sum -= tokens;
        }
    }

    /// Tokens that peers are expected to have spent since their last reports, which are on average
    /// `report_age_ms` old.
    fn expected_unreported(&mut self, report_age_ms: u64, now: Instant) -> f64 {
        let oldest = (now.as_ms() / SLOT_MS).saturating_sub(RATE_SLOTS - 1);
        while self.peer_slots.front().is_some_and(|(slot, _)| *slot < oldest) {
            self.peer_slots.pop_front();
        }
        let spent: f64 = self.peer_slots.iter().map(|(_, tokens)| tokens).sum();
        let measured_ms = now.as_ms() - oldest * SLOT_MS;
        spent.max(0.0) * report_age_ms as f64 / measured_ms as f64
    }

    /// Spends tokens, or returns the time in ms until they are available. `limit_share` is the
    /// fraction of the limit that this instance may use; the rest is left to unreachable instances.
    /// `report_age_ms` is the mean age of the last reports of peers.
    pub fn try_acquire(
        &mut self,
        tokens: Tokens,
        now: Instant,
        limit_share: f64,
        report_age_ms: u64,
    ) -> Result<(), u64> {
        self.drop_expired_slots(now);
        let tokens = tokens.get();
        let limit = self.limit() * limit_share;
        let unreported = self.expected_unreported(report_age_ms, now);
        // Less than a request of this size most likely means that none has run.
        let unreported = if unreported < tokens as f64 { 0.0 } else { unreported };
        let excess = self.sum + unreported + tokens as f64 - limit;
        if excess > 0.0 && self.sum > 0.0 {
            return Err(self.wait_ms(excess, now));
        }
        self.add(tokens as f64, now);
        self.local_spent += tokens;
        Ok(())
    }

    /// Whether most of the limit is spent.
    pub fn is_near_limit(&mut self, now: Instant, limit_share: f64, report_age_ms: u64) -> bool {
        self.drop_expired_slots(now);
        let unreported = self.expected_unreported(report_age_ms, now);
        self.sum + unreported > self.limit() * limit_share * NEAR_LIMIT_FRACTION
    }

    /// Time until slots with at least `excess` tokens have left the window.
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

    /// Returns the tokens of a request that was charged at `charged_at` and did not run.
    pub fn refund(&mut self, tokens: Tokens, charged_at: Instant) {
        self.take_out(tokens.get() as f64, charged_at);
        self.local_spent = self.local_spent.saturating_sub(tokens.get());
    }

    pub fn local_spent(&self) -> u64 {
        self.local_spent
    }

    /// Counts tokens that a peer has spent, or returned if `tokens` is negative.
    pub fn add_peer_usage(&mut self, tokens: i64, now: Instant) {
        add_to_newest(&mut self.peer_slots, tokens as f64, now);
        if tokens < 0 {
            let oldest_ms = self.slots.front().map_or(0, |(slot, _)| slot * SLOT_MS);
            let charged_ms = now.as_ms().saturating_sub(PEER_REFUND_AGE_MS).max(oldest_ms);
            let charged_at = Instant::from_ms(charged_ms);
            self.take_out(tokens.unsigned_abs() as f64, charged_at);
        } else {
            self.add(tokens as f64, now);
        }
    }
}

fn add_to_newest(slots: &mut VecDeque<(u64, f64)>, tokens: f64, now: Instant) {
    let slot = now.as_ms() / SLOT_MS;
    match slots.back_mut() {
        Some((newest, spent)) if *newest >= slot => *spent += tokens,
        _ => slots.push_back((slot, tokens)),
    }
}
