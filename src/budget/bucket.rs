use serde::{Deserialize, Serialize};

use super::draw::{DrawRequest, Grant, Refund};
use super::headroom::Headroom;
use super::holder_time::HolderTime;
use super::limits::{GRANT_MARGIN_MS, GRANT_TTL_MS};
use super::outstanding::{Account, Drawer, Outstanding, Place};
use super::waiting_draws::WaitingDraws;
use crate::config::Rate;
use crate::units::{Tokens, TokensPerSecond};

/// Token bucket of one organisation at its holder. Level and outstanding grants together never
/// exceed the burst, and the level grows at most at the rate, so any interval passes at most
/// burst + rate × interval.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Bucket {
    rate_tokens_per_s: TokensPerSecond,
    burst_tokens: Tokens,
    /// Thousandths of tokens: a rate in tokens a second adds whole ones each millisecond.
    level_milli_tokens: u64,
    refilled_at: HolderTime,
    outstanding: Outstanding,
    headroom: Headroom,
    #[serde(skip)]
    waiting: WaitingDraws,
}

impl Bucket {
    /// Part of the level that a draw may take ahead of demand.
    const AHEAD_DIVISOR: u64 = 4;
    const MAX_RETRY_AFTER_MS: u64 = 60_000;

    /// A bucket without grants that has been filling since `filling_since`. Until that time the
    /// whole burst counts as outstanding, because an earlier holder may have granted it.
    pub fn new(rate: Rate, filling_since: HolderTime, now: HolderTime) -> Bucket {
        let mut bucket = Bucket {
            rate_tokens_per_s: rate.rate_tokens_per_s,
            burst_tokens: rate.burst_tokens,
            level_milli_tokens: 0,
            refilled_at: filling_since.min(now),
            outstanding: Outstanding::default(),
            headroom: Headroom::new(now),
            waiting: WaitingDraws::default(),
        };
        if filling_since > now {
            bucket.outstanding.add_unnamed(filling_since, rate.burst_tokens);
        }
        bucket.advance(now);
        bucket
    }

    /// Refills until `now`. Expiries are taken in order, since each changes the room for refill.
    pub fn advance(&mut self, now: HolderTime) {
        while let Some(deadline) = self.outstanding.next_expiry().filter(|at| *at <= now) {
            self.refill(deadline);
            self.outstanding.expire(deadline);
        }
        self.refill(now);
    }

    fn refill(&mut self, now: HolderTime) {
        let elapsed_ms = now.ms_since(self.refilled_at);
        let gained = self.rate_tokens_per_s.0.saturating_mul(elapsed_ms);
        self.level_milli_tokens += gained.min(self.room());
        self.refilled_at = self.refilled_at.max(now);
        self.headroom.record(self.refilled_at, self.room());
    }

    fn room(&self) -> u64 {
        let used = milli(self.outstanding.total()).saturating_add(self.level_milli_tokens);
        milli(self.burst_tokens).saturating_sub(used)
    }

    /// Puts a changed rate in force at once.
    pub fn set_rate(&mut self, rate: Rate, now: HolderTime) {
        self.advance(now);
        self.rate_tokens_per_s = rate.rate_tokens_per_s;
        self.burst_tokens = rate.burst_tokens;
        let capacity = milli(rate.burst_tokens).saturating_sub(milli(self.outstanding.total()));
        self.level_milli_tokens = self.level_milli_tokens.min(capacity);
        self.headroom.record(now.plus_ms(1), self.room());
    }

    pub fn draw(&mut self, request: &DrawRequest, now: HolderTime) -> Grant {
        self.advance(now);
        let drawer = (request.instance.clone(), request.incarnation);
        let place = self.outstanding.place(&drawer, request.sequence);
        match place {
            Place::Repeated => return self.repeat(&drawer, now),
            Place::Stale => return grant_of(&Account::new(0, now, Tokens(0), 0), now),
            Place::Next => {
                let (spent, returned) = (request.spent_tokens, request.returned_tokens);
                let credit = self.outstanding.settle(&drawer, spent, returned);
                self.level_milli_tokens += milli(credit);
            }
            Place::First => {}
        }
        for refund in &request.refunds {
            self.refund(&drawer, refund, now);
        }
        self.give(request, place, drawer, now)
    }

    fn repeat(&self, drawer: &Drawer, now: HolderTime) -> Grant {
        let answered = self.outstanding.account(drawer).cloned();
        grant_of(&answered.unwrap_or_else(|| Account::new(0, now, Tokens(0), 0)), now)
    }

    fn refund(&mut self, drawer: &Drawer, refund: &Refund, now: HolderTime) {
        let granted_at = HolderTime::from_wire(refund.granted_at);
        if !self.outstanding.recognises(drawer, granted_at) {
            return;
        }
        let worth = self.headroom.least_since(granted_at, now, self.room());
        let worth = worth.min(milli(refund.tokens));
        self.level_milli_tokens += worth;
        self.headroom.lower(granted_at, worth);
        self.headroom.record(now.plus_ms(1), self.room());
    }

    fn give(&mut self, request: &DrawRequest, place: Place, by: Drawer, now: HolderTime) -> Grant {
        let ahead = self.waiting.ahead_of(&by, now);
        let free = Tokens(self.level_milli_tokens / 1000) - ahead;
        let need = request.need_tokens;
        let mut tokens = Tokens(0);
        let mut retry_after_ms = 0;
        if need <= free {
            self.waiting.leave(&by);
            let spare = Tokens((free - need).0 / Bucket::AHEAD_DIVISOR);
            tokens = need + request.want_tokens.min(spare);
        } else {
            retry_after_ms = self.ms_until(ahead + need);
            if need <= self.burst_tokens {
                self.waiting.enter(by, need, now);
            }
        }
        self.level_milli_tokens -= milli(tokens);
        let account = Account::new(request.sequence, now, tokens, retry_after_ms);
        let answer = grant_of(&account, now);
        let deadline = now.plus_ms(GRANT_TTL_MS + GRANT_MARGIN_MS);
        self.outstanding.grant(request, place, account, deadline);
        answer
    }

    fn ms_until(&self, tokens: Tokens) -> u64 {
        let missing = milli(tokens).saturating_sub(self.level_milli_tokens);
        let wait_ms = missing.div_ceil(self.rate_tokens_per_s.0.max(1));
        wait_ms.clamp(1, Bucket::MAX_RETRY_AFTER_MS)
    }

    /// Granted, not yet settled and not past the deadline.
    pub fn outstanding_tokens(&mut self, now: HolderTime) -> Tokens {
        self.advance(now);
        self.outstanding.total()
    }

    /// Whether a bucket made anew would be the same. Drops idle accounts.
    pub fn is_idle(&mut self, now: HolderTime) -> bool {
        self.advance(now);
        self.outstanding.forget_idle(now);
        self.outstanding.is_empty() && self.room() == 0
    }
}

fn milli(tokens: Tokens) -> u64 {
    tokens.0.saturating_mul(1000)
}

/// The time to live shrinks with the age of a repeated answer.
fn grant_of(account: &Account, now: HolderTime) -> Grant {
    Grant {
        tokens: account.tokens,
        granted_at: account.granted_at.to_wire(),
        time_to_live_ms: GRANT_TTL_MS.saturating_sub(now.ms_since(account.granted_at)),
        retry_after_ms: account.retry_after_ms,
    }
}
