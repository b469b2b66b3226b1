use smol_str::SmolStr;

use crate::clock::Instant;

/// Last known state of a peer instance.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Rank by which instances take on fleet-wide work; the lowest comes first.
    pub rank: u64,
    /// Random identifier of the peer's current process run; 0 until its first datagram.
    pub run: u64,
    /// Estimated start of that run.
    pub started_at: Instant,
    /// Sequence number of the newest status of that run.
    pub sequence: u64,
    pub zone: SmolStr,
    pub is_ready: bool,
    pub is_leaving: bool,
    /// Arrival time of the newest status; `None` until the first one.
    pub last_received_at: Option<Instant>,
    /// Arrival time of the newest datagram.
    pub last_heard_at: Option<Instant>,
    /// Whether a status arrived within the failure timeout and the failure detection has not found
    /// the peer lost since.
    pub is_live: bool,
    /// Whether the peer's reads of the store succeed.
    pub is_store_steady: bool,
    /// Content versions of the peer's replicas, by `Topic::index`.
    pub versions: [u64; 2],
}
