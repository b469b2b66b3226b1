use super::bucket::Bucket;
use super::draw::{DrawRequest, Grant};
use super::holder_time::HolderTime;
use super::part::HeldPart;
use super::share::Share;
use crate::clock::Instant;
use crate::config::Rate;
use crate::units::{OrganisationId, Tokens, TokensPerSecond};

/// A region's part of one organisation's budget, and the token bucket with its rate.
#[derive(Debug)]
pub(super) struct RegionPart {
    rate: Rate,
    share: Share,
    deadline: Instant,
    bucket: Bucket,
    /// Tokens requested by draws since the last report.
    requested_tokens: Tokens,
    reported_at: HolderTime,
    /// Largest need of a draw since the last report, not counting those larger than the whole
    /// burst.
    need_tokens: Tokens,
}

impl RegionPart {
    pub const NO_RATE: Rate =
        Rate { rate_tokens_per_s: TokensPerSecond(0), burst_tokens: Tokens(0) };
    /// Demand is averaged over at least this time; over less it would be dominated by single draws.
    const MIN_DEMAND_PERIOD_MS: u64 = 1_000;

    pub fn new(rate: Rate, at: HolderTime) -> RegionPart {
        RegionPart {
            rate,
            share: Share::NONE,
            deadline: Instant::default(),
            bucket: Bucket::new(RegionPart::NO_RATE, at, at),
            requested_tokens: Tokens(0),
            reported_at: at,
            need_tokens: Tokens(0),
        }
    }

    pub fn share(&self) -> Share {
        self.share
    }

    /// Whether a recent draw did not fit into this part but would fit into a larger one.
    pub fn is_too_small(&self) -> bool {
        self.need_tokens > self.share.apply_to(self.rate).burst_tokens
    }

    pub fn set_rate(&mut self, rate: Rate, at: HolderTime) {
        self.rate = rate;
        self.bucket.set_rate(self.share.apply_to(rate), at);
    }

    pub fn set_share(&mut self, share: Share, deadline: Instant, at: HolderTime) {
        self.share = share;
        self.deadline = deadline;
        self.bucket.set_rate(share.apply_to(self.rate), at);
    }

    pub fn expire(&mut self, now: Instant, at: HolderTime) {
        if self.share > Share::NONE && now >= self.deadline {
            self.set_share(Share::NONE, self.deadline, at);
        }
    }

    pub fn draw(&mut self, request: &DrawRequest, at: HolderTime) -> Grant {
        let grant = self.bucket.draw(request, at);
        self.requested_tokens += grant.tokens.max(request.need_tokens);
        if request.need_tokens <= self.rate.burst_tokens {
            self.need_tokens = self.need_tokens.max(request.need_tokens);
        }
        grant
    }

    /// Builds the report for the budget holder and starts a new measurement of demand.
    pub fn report(&mut self, organisation: &OrganisationId, at: HolderTime) -> HeldPart {
        let outstanding = self.bucket.outstanding_tokens(at);
        let elapsed_ms = at.ms_since(self.reported_at).max(RegionPart::MIN_DEMAND_PERIOD_MS);
        let demand = self.requested_tokens.0.saturating_mul(1_000) / elapsed_ms;
        self.requested_tokens = Tokens(0);
        self.reported_at = at;
        HeldPart {
            organisation: organisation.clone(),
            share: self.share,
            used: Share::covering(outstanding, self.rate.burst_tokens),
            demand: TokensPerSecond(demand.min(self.rate.rate_tokens_per_s.0)),
            need_tokens: std::mem::take(&mut self.need_tokens),
        }
    }

    /// Whether the region has no part, no outstanding grants and no recent draws.
    pub fn is_unused(&mut self, at: HolderTime) -> bool {
        self.share == Share::NONE
            && self.requested_tokens == Tokens(0)
            && self.bucket.outstanding_tokens(at) == Tokens(0)
    }
}
