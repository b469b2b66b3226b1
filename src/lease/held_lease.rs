use crate::clock::Instant;
use crate::units::FencingToken;

/// A lease that this instance currently holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    pub fencing: FencingToken,
    /// When the lease expires unless it is renewed.
    pub deadline: Instant,
}
