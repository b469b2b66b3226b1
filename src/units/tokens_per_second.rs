use crate::units::macros::quantity;

quantity! {
    /// Rate in tokens per second.
    TokensPerSecond
}
