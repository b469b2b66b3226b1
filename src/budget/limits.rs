//! Times shared by the owner side and the instance side.

/// How long a grant may be spent, counted by the receiver from the moment it sent the draw. A new
/// owner grants nothing until the grants of the old one have ended. With one second, service is
/// back within the 5 s that a takeover may take.
pub const GRANT_TTL_MS: u64 = 1_000;

/// Added by the owner to a grant's deadline. Covers clock rate difference and scheduling.
pub const MARGIN_MS: u64 = 500;

/// Refunds of older grants are worth nothing.
pub(super) const REFUND_WINDOW_MS: u64 = 600_000;
