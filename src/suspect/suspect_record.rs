use crate::units::{Fingerprint, Tokens};

/// How many endpoints died under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    pub fingerprint: Fingerprint,
    pub crashes: u32,
    /// Most output that the request had when an endpoint died.
    pub output_tokens: Tokens,
    /// Time after which the suspicion ends.
    pub remaining_ms: u64,
}
