use crate::units::macros::{quantity, saturating_arithmetic};

quantity! {
    /// Number of pieces of engine memory.
    Pieces
}

saturating_arithmetic!(Pieces);
