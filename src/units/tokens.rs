use crate::units::macros::{quantity, saturating_arithmetic};

quantity! {
    /// Number of prompt or output tokens.
    Tokens
}

saturating_arithmetic!(Tokens);
