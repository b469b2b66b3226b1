//! Time limits shared by holders and instances.

/// Time to live of a grant, measured by the receiver from the time it sent the draw. A new holder
/// grants nothing until the grants of the previous one have expired; with one second, service
/// resumes within the 5 s allowed for a takeover.
pub const GRANT_TTL_MS: u64 = 1_000;

/// Added by the holder to the deadline of a grant, for clock drift and scheduling delay.
pub const GRANT_MARGIN_MS: u64 = 500;

/// Refunds of older grants are not credited.
pub(super) const REFUND_WINDOW_MS: u64 = 600_000;

/// Time to live of a region's part, measured from the request. Allows a network partition of
/// several minutes.
pub const PART_TTL_MS: u64 = 600_000;

/// Added by the holder to the deadline of a part, for the last grants from the part and for clock
/// drift over ten minutes (5 s are 0.8%).
pub const PART_MARGIN_MS: u64 = GRANT_TTL_MS + GRANT_MARGIN_MS + 5_000;

/// Interval between renewals of a region's parts.
pub const PART_RENEW_MS: u64 = 60_000;

/// Time after which a region removed from the document has stopped using its parts: the document is
/// in force everywhere within 3 s, or keyed requests are refused 2.5 s after the last confirmation,
/// and grants expire `GRANT_TTL_MS` later.
pub const REGION_REMOVAL_MS: u64 = 10_000;
