use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::balance::PeerLoad;

/// Marks a datagram as a report of a zone's loads. Like the mark of probes, it begins no status.
const PREFIX: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xfe];

/// Loads that all instances of an availability zone together have placed on endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoads {
    pub zone: SmolStr,
    pub loads: Vec<PeerLoad>,
}

impl ZoneLoads {
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, PREFIX.to_vec())
    }

    /// Decodes a datagram; `None` if it is not a report of a zone's loads.
    pub fn decode(bytes: &[u8]) -> Option<Result<ZoneLoads, postcard::Error>> {
        bytes.strip_prefix(&PREFIX).map(postcard::from_bytes)
    }
}
