use crate::units::{Fingerprint, Tokens};

/// Number of endpoints that crashed while running a request, as exchanged between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    pub fingerprint: Fingerprint,
    pub crashes: u32,
    /// Largest output that the request had when an endpoint crashed.
    pub output_tokens: Tokens,
    /// Time until the record expires.
    pub remaining_ms: u64,
}
