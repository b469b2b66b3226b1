use crate::units::macros::quantity;

quantity! {
    /// Random number drawn at each process start; distinguishes restarts of an instance.
    Incarnation
}
