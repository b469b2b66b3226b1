use crate::units::macros::{quantity, saturating_arithmetic};

quantity! {
    /// Number of pieces, the allocation units of an engine's KV cache memory.
    Pieces
}

saturating_arithmetic!(Pieces);
