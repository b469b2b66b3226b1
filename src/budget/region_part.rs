use super::bucket::Bucket;
use super::draw::{DrawRequest, Grant};
use super::holder_time::HolderTime;
use super::part::HeldPart;
use super::share::Share;
use crate::clock::Instant;
use crate::config::Rate;
use crate::units::{OrganisationId, Tokens, TokensPerSecond};

/// A region's part of one organisation's budget and the bucket that it fills.
#[derive(Debug)]
pub(super) struct RegionPart {
    rate: Rate,
    share: Share,
    deadline: Instant,
    bucket: Bucket,
    /// Asked for since the last report.
    asked_tokens: Tokens,
    reported_at: HolderTime,
    /// Largest draw since the last report that the whole burst could hold.
    need_tokens: Tokens,
}

impl RegionPart {
    pub const NO_RATE: Rate =
        Rate { rate_tokens_per_s: TokensPerSecond(0), burst_tokens: Tokens(0) };
    /// A shorter time says too little about the demand.
    const LEAST_DEMAND_MS: u64 = 1_000;

    pub fn new(rate: Rate, at: HolderTime) -> RegionPart {
        RegionPart {
            rate,
            share: Share::NONE,
            deadline: Instant::default(),
            bucket: Bucket::new(RegionPart::NO_RATE, at, at),
            asked_tokens: Tokens(0),
            reported_at: at,
            need_tokens: Tokens(0),
        }
    }

    pub fn share(&self) -> Share {
        self.share
    }

    /// Whether a larger part could hold a recent draw that this one cannot.
    pub fn is_short(&self) -> bool {
        self.need_tokens > self.share.of(self.rate).burst_tokens
    }

    pub fn set_rate(&mut self, rate: Rate, at: HolderTime) {
        self.rate = rate;
        self.bucket.set_rate(self.share.of(rate), at);
    }

    pub fn set_share(&mut self, share: Share, deadline: Instant, at: HolderTime) {
        self.share = share;
        self.deadline = deadline;
        self.bucket.set_rate(share.of(self.rate), at);
    }

    pub fn expire(&mut self, now: Instant, at: HolderTime) {
        if self.share > Share::NONE && now >= self.deadline {
            self.set_share(Share::NONE, self.deadline, at);
        }
    }

    pub fn draw(&mut self, request: &DrawRequest, at: HolderTime) -> Grant {
        let grant = self.bucket.draw(request, at);
        self.asked_tokens += grant.tokens.max(request.need_tokens);
        if request.need_tokens <= self.rate.burst_tokens {
            self.need_tokens = self.need_tokens.max(request.need_tokens);
        }
        grant
    }

    /// The state for the holder. Starts a new period of demand.
    pub fn report(&mut self, organisation: &OrganisationId, at: HolderTime) -> HeldPart {
        let outstanding = self.bucket.outstanding_tokens(at);
        let elapsed_ms = at.ms_since(self.reported_at).max(RegionPart::LEAST_DEMAND_MS);
        let demand = self.asked_tokens.0.saturating_mul(1_000) / elapsed_ms;
        self.asked_tokens = Tokens(0);
        self.reported_at = at;
        HeldPart {
            organisation: organisation.clone(),
            share: self.share,
            used: Share::covering(outstanding, self.rate.burst_tokens),
            demand: TokensPerSecond(demand.min(self.rate.rate_tokens_per_s.0)),
            need_tokens: std::mem::take(&mut self.need_tokens),
        }
    }

    /// Whether the region neither has a part nor asked for one.
    pub fn is_unused(&mut self, at: HolderTime) -> bool {
        self.share == Share::NONE
            && self.asked_tokens == Tokens(0)
            && self.bucket.outstanding_tokens(at) == Tokens(0)
    }
}
