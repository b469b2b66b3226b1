use serde::{Deserialize, Serialize};

use super::draw::{DrawRequest, Grant, Refund};
use super::headroom::Headroom;
use super::holder_time::HolderTime;
use super::limits::{GRANT_MARGIN_MS, GRANT_TTL_MS};
use super::outstanding_grants::{Account, DrawOrder, InstanceRun, OutstandingGrants};
use super::waiting_draws::WaitingDraws;
use crate::config::Rate;
use crate::units::{Tokens, TokensPerSecond};

/// Token bucket of one organisation, kept by the holder of its budget shard. Level and outstanding
/// grants together never exceed the burst, and the level grows at most at the rate, so the tokens
/// used in any interval are at most burst + rate × interval.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Bucket {
    rate_tokens_per_s: TokensPerSecond,
    burst_tokens: Tokens,
    /// In thousandths of a token, so that the refill of one millisecond is an integer.
    level_milli_tokens: u64,
    refilled_at: HolderTime,
    outstanding: OutstandingGrants,
    headroom: Headroom,
    #[serde(skip)]
    waiting: WaitingDraws,
}

impl Bucket {
    /// Prefetch may take at most the level divided by this number.
    const PREFETCH_DIVISOR: u64 = 4;
    const MAX_RETRY_AFTER_MS: u64 = 60_000;

    /// Creates a bucket without grants that has been refilling since `filling_since`. Until that
    /// time the whole burst counts as outstanding, because an earlier holder may have granted it.
    pub fn new(rate: Rate, filling_since: HolderTime, now: HolderTime) -> Bucket {
        let mut bucket = Bucket {
            rate_tokens_per_s: rate.rate_tokens_per_s,
            burst_tokens: rate.burst_tokens,
            level_milli_tokens: 0,
            refilled_at: filling_since.min(now),
            outstanding: OutstandingGrants::default(),
            headroom: Headroom::new(now),
            waiting: WaitingDraws::default(),
        };
        if filling_since > now {
            bucket.outstanding.add_unnamed(filling_since, rate.burst_tokens);
        }
        bucket.advance(now);
        bucket
    }

    /// Refills the bucket until `now`. Grants expire in order of their deadlines, because each
    /// expiry frees capacity for the refill after it.
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
        self.level_milli_tokens += gained.min(self.free_milli_tokens());
        self.refilled_at = self.refilled_at.max(now);
        self.headroom.record(self.refilled_at, self.free_milli_tokens());
    }

    fn free_milli_tokens(&self) -> u64 {
        let used = to_milli(self.outstanding.total()).saturating_add(self.level_milli_tokens);
        to_milli(self.burst_tokens).saturating_sub(used)
    }

    /// Applies a changed rate immediately.
    pub fn set_rate(&mut self, rate: Rate, now: HolderTime) {
        self.advance(now);
        self.rate_tokens_per_s = rate.rate_tokens_per_s;
        self.burst_tokens = rate.burst_tokens;
        let capacity =
            to_milli(rate.burst_tokens).saturating_sub(to_milli(self.outstanding.total()));
        self.level_milli_tokens = self.level_milli_tokens.min(capacity);
        self.headroom.record(now.plus_ms(1), self.free_milli_tokens());
    }

    pub fn draw(&mut self, request: &DrawRequest, now: HolderTime) -> Grant {
        self.advance(now);
        let instance_run = (request.instance.clone(), request.incarnation);
        let order = self.outstanding.draw_order(&instance_run, request.sequence);
        match order {
            DrawOrder::Repeated => return self.repeat_grant(&instance_run, now),
            DrawOrder::Stale => return grant_from(&Account::new(0, now, Tokens(0), 0), now),
            DrawOrder::Next => {
                let (spent, returned) = (request.spent_tokens, request.returned_tokens);
                let credit = self.outstanding.settle(&instance_run, spent, returned);
                self.level_milli_tokens += to_milli(credit);
            }
            DrawOrder::NoPredecessor => {}
        }
        for refund in &request.refunds {
            self.refund(&instance_run, refund, now);
        }
        self.grant_tokens(request, order, instance_run, now)
    }

    fn repeat_grant(&self, instance_run: &InstanceRun, now: HolderTime) -> Grant {
        let answered = self.outstanding.account(instance_run).cloned();
        grant_from(&answered.unwrap_or_else(|| Account::new(0, now, Tokens(0), 0)), now)
    }

    fn refund(&mut self, instance_run: &InstanceRun, refund: &Refund, now: HolderTime) {
        let granted_at = HolderTime::from_wire(refund.granted_at);
        if !self.outstanding.accepts_refund(instance_run, granted_at) {
            return;
        }
        let refundable = self.headroom.min_since(granted_at, now, self.free_milli_tokens());
        let refundable = refundable.min(to_milli(refund.tokens));
        self.level_milli_tokens += refundable;
        self.headroom.lower(granted_at, refundable);
        self.headroom.record(now.plus_ms(1), self.free_milli_tokens());
    }

    fn grant_tokens(
        &mut self,
        request: &DrawRequest,
        order: DrawOrder,
        requester: InstanceRun,
        now: HolderTime,
    ) -> Grant {
        let reserved = self.waiting.reserved_before(&requester, now);
        let free = Tokens(self.level_milli_tokens / 1000) - reserved;
        let need = request.need_tokens;
        let mut tokens = Tokens(0);
        let mut retry_after_ms = 0;
        if need <= free {
            self.waiting.remove(&requester);
            let spare = Tokens((free - need).0 / Bucket::PREFETCH_DIVISOR);
            tokens = need + request.want_tokens.min(spare);
        } else {
            retry_after_ms = self.ms_until(reserved + need);
            if need <= self.burst_tokens {
                self.waiting.insert(requester, need, now);
            }
        }
        self.level_milli_tokens -= to_milli(tokens);
        let account = Account::new(request.sequence, now, tokens, retry_after_ms);
        let answer = grant_from(&account, now);
        let deadline = now.plus_ms(GRANT_TTL_MS + GRANT_MARGIN_MS);
        self.outstanding.record_grant(request, order, account, deadline);
        answer
    }

    fn ms_until(&self, tokens: Tokens) -> u64 {
        let missing = to_milli(tokens).saturating_sub(self.level_milli_tokens);
        let wait_ms = missing.div_ceil(self.rate_tokens_per_s.0.max(1));
        wait_ms.clamp(1, Bucket::MAX_RETRY_AFTER_MS)
    }

    /// Tokens of grants that are neither settled nor expired.
    pub fn outstanding_tokens(&mut self, now: HolderTime) -> Tokens {
        self.advance(now);
        self.outstanding.total()
    }

    /// Whether the bucket can be dropped, since a new one would have the same state. Drops idle
    /// accounts.
    pub fn is_idle(&mut self, now: HolderTime) -> bool {
        self.advance(now);
        self.outstanding.drop_idle_accounts(now);
        self.outstanding.is_empty() && self.free_milli_tokens() == 0
    }
}

fn to_milli(tokens: Tokens) -> u64 {
    tokens.0.saturating_mul(1000)
}

/// A repeated answer has the time to live that remains of the original grant.
fn grant_from(account: &Account, now: HolderTime) -> Grant {
    Grant {
        tokens: account.tokens,
        granted_at: account.granted_at.to_wire(),
        time_to_live_ms: GRANT_TTL_MS.saturating_sub(now.ms_since(account.granted_at)),
        retry_after_ms: account.retry_after_ms,
    }
}
