use crate::lease::Holding;
use crate::units::Incarnation;

/// A question to a lease's witness: extend the holding, or consent to its takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseClaim {
    /// The holding as it stands in the lease row.
    pub holding: Holding,
    /// Incarnation under which the witness is named in the lease row. A restarted witness has
    /// forgotten its promises and must not answer.
    pub witness_incarnation: Incarnation,
}
