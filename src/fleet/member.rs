use smol_str::SmolStr;

use crate::clock::Instant;

/// Another instance as this one knows it.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Random number of its present run, 0 until it was heard.
    pub run: u64,
    pub sequence: u64,
    pub zone: SmolStr,
    pub is_ready: bool,
    pub is_leaving: bool,
    /// `None` until the first datagram.
    pub last_received_at: Option<Instant>,
    pub is_live: bool,
    /// Whether its reads of the store succeed.
    pub is_store_steady: bool,
    pub versions: [u64; 2],
}
