use crate::units::Tokens;

/// Member of `rates` that limits reads from the weight store. Its budget is fenced and covers the
/// whole fleet like that of an organisation.
pub const WEIGHT_STORE: &str = "weight-store";

const BYTES_PER_TOKEN: u64 = 1 << 20;

/// Tokens of the weight store's budget that a read costs: one for each MiB.
pub fn weight_tokens(bytes: u64) -> Tokens {
    Tokens(bytes.div_ceil(BYTES_PER_TOKEN))
}
