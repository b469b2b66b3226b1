use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::balance::PeerLoad;
use crate::quota::TokenUsage;

/// How often requests with one fingerprint have crashed an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCount {
    pub fingerprint: u64,
    pub crashes: u8,
}

/// What an instance tells its peers, several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Random number of the sender's run.
    pub run: u64,
    /// Grows with each datagram of a run; older ones that arrive late are dropped.
    pub sequence: u64,
    /// Time since the sender's start.
    pub age_ms: u64,
    pub zone: SmolStr,
    /// Whether callers may be sent to the sender.
    pub is_ready: bool,
    /// The sender is about to stop.
    pub is_leaving: bool,
    /// Whether the sender's reads of the store succeed.
    pub is_store_steady: bool,
    /// Versions of the sender's replicas, by `Topic::index`.
    pub versions: [u64; 2],
    pub loads: Vec<PeerLoad>,
    pub spent: Vec<TokenUsage>,
    pub crashes: Vec<CrashCount>,
    /// Some instances that the sender heard lately.
    pub known: Vec<Ipv4Addr>,
}

impl Status {
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Status, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
