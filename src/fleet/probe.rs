use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use crate::fleet::Rumour;

/// Marks a datagram as a probe. No status begins with these bytes, which are not the beginning of an
/// encoded number.
const PREFIX: [u8; 10] = [0xff; 10];

/// What a probe asks or tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeKind {
    /// Asks the receiver for an answer.
    Ping,
    /// Asks the receiver to ping `target` for the sender.
    IndirectPing { target: Ipv4Addr },
    /// Tells that `subject`, the sender or the target of an indirect ping, has answered.
    Ack { subject: Ipv4Addr },
}

/// Datagram of the failure detection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    pub kind: ProbeKind,
    /// Chosen by the instance that asks; an answer carries the same.
    pub nonce: u64,
    pub rumours: Vec<Rumour>,
}

impl Probe {
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, PREFIX.to_vec())
    }

    /// Decodes a datagram; `None` if it is not a probe.
    pub fn decode(bytes: &[u8]) -> Option<Result<Probe, postcard::Error>> {
        bytes.strip_prefix(&PREFIX).map(postcard::from_bytes)
    }
}
