//! Times shared by the owner side and the instance side.

/// How long a grant may be spent, counted by the receiver from the moment it sent the draw. A new
/// owner grants nothing until the grants of the old one have ended. With one second, service is
/// back within the 5 s that a takeover may take.
pub const GRANT_TTL_MS: u64 = 1_000;

/// Added by the owner to a grant's deadline. Covers clock rate difference and scheduling.
pub const GRANT_MARGIN_MS: u64 = 500;

/// Refunds of older grants are worth nothing.
pub(super) const REFUND_WINDOW_MS: u64 = 600_000;

/// How long a region may use its part, counted from the request. Covers a cut of minutes.
pub const PART_TTL_MS: u64 = 600_000;

/// Added by the holder to a part's deadline. Covers the last grants from the part and the clocks'
/// rate difference over ten minutes (5 s are 0.8%).
pub const PART_MARGIN_MS: u64 = GRANT_TTL_MS + GRANT_MARGIN_MS + 5_000;

/// Time between two renewals of a region's parts.
pub const PART_RENEW_MS: u64 = 60_000;

/// A region that leaves the document uses no part after this time: the document is in force
/// everywhere within 3 s, or keyed requests are refused 2.5 s after the last confirmation, and
/// grants end `GRANT_TTL_MS` later.
pub const REGION_REMOVAL_MS: u64 = 10_000;
