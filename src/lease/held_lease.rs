use crate::clock::Instant;
use crate::units::FencingToken;

/// A lease that this instance holds now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    pub fencing: FencingToken,
    /// From this instant on the lease is no longer held, unless it is renewed before.
    pub deadline: Instant,
}
