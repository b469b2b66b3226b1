use crate::lease::Holding;
use crate::units::Incarnation;

/// A request to a witness of a lease, to extend the holding or to consent to its takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseClaim {
    /// The holding as recorded in the lease row.
    pub holding: Holding,
    /// Incarnation of the witness in the lease row. A restarted witness has lost its promises and
    /// must not vote.
    pub witness_incarnation: Incarnation,
}
