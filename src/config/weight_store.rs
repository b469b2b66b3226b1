use crate::units::Tokens;

/// Name of the entry in `rates` that limits reads from the weight store. Its budget is fenced and
/// shared by the whole fleet, like that of an organisation.
pub const WEIGHT_STORE: &str = "weight-store";

const BYTES_PER_TOKEN: u64 = 1 << 20;

/// Cost of a read in tokens of the weight store's budget: one per MiB, rounded up.
pub fn weight_tokens(bytes: u64) -> Tokens {
    Tokens(bytes.div_ceil(BYTES_PER_TOKEN))
}
