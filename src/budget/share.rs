use std::ops::{Add, Sub};

use derive_more::Display;

use crate::config::Rate;
use crate::units::{Tokens, TokensPerSecond};

/// Fraction of an organisation's rate and burst, in millionths. Because it is relative, a changed
/// rate takes effect in every region with the document and needs no message between regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct Share(u32);

impl Share {
    pub const NONE: Share = Share(0);
    pub const HALF: Share = Share(500_000);
    pub const WHOLE: Share = Share(1_000_000);

    pub fn from_millionths(millionths: u32) -> Share {
        Share(millionths.min(Share::WHOLE.0))
    }

    pub fn millionths(self) -> u32 {
        self.0
    }

    /// `part` / `whole`, rounded down; zero if `whole` is zero.
    pub fn from_ratio(part: u64, whole: u64) -> Share {
        let millionths = u128::from(part) * u128::from(Share::WHOLE.0);
        let share = millionths.checked_div(u128::from(whole)).unwrap_or(0);
        Share(share.min(u128::from(Share::WHOLE.0)) as u32)
    }

    /// The smallest share of `burst` that covers `tokens`.
    pub fn covering(tokens: Tokens, burst: Tokens) -> Share {
        if tokens == Tokens(0) {
            return Share::NONE;
        }
        let millionths = u128::from(tokens.0) * u128::from(Share::WHOLE.0);
        let share = millionths.div_ceil(u128::from(burst.0.max(1)));
        Share(share.min(u128::from(Share::WHOLE.0)) as u32)
    }

    /// The rate and burst of this share, rounded down so that shares that add up to at most the
    /// whole never exceed the rate.
    pub fn apply_to(self, rate: Rate) -> Rate {
        Rate {
            rate_tokens_per_s: TokensPerSecond(self.scale(rate.rate_tokens_per_s.0)),
            burst_tokens: Tokens(self.scale(rate.burst_tokens.0)),
        }
    }

    pub fn scaled_by(self, other: Share) -> Share {
        Share(self.scale(u64::from(other.0)) as u32)
    }

    fn scale(self, count: u64) -> u64 {
        (u128::from(count) * u128::from(self.0) / u128::from(Share::WHOLE.0)) as u64
    }
}

impl Add for Share {
    type Output = Share;

    fn add(self, other: Share) -> Share {
        Share(self.0.saturating_add(other.0).min(Share::WHOLE.0))
    }
}

impl Sub for Share {
    type Output = Share;

    fn sub(self, other: Share) -> Share {
        Share(self.0.saturating_sub(other.0))
    }
}
