use crate::units::macros::quantity;

quantity! {
    /// Random number generated at each process start, which distinguishes restarts of an instance.
    Incarnation
}
