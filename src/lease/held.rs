use crate::clock::Instant;
use crate::units::Fencing;

/// A lease that this instance holds now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    pub fencing: Fencing,
    /// From this instant on the lease is no longer held, unless it is renewed before.
    pub deadline: Instant,
}
