use crate::units::macros::quantity;

quantity! {
    /// Token rate.
    TokensPerSecond
}
