use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::balance::PeerLoad;
use crate::crashes::CrashReports;
use crate::fleet::{Notices, StatusExtension};
use crate::quota::TokenUsage;

/// Number of times that requests with one fingerprint have crashed an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCount {
    pub fingerprint: u64,
    pub crashes: u8,
}

/// State that an instance sends to its peers several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Random identifier of the sender's process run.
    pub run: u64,
    /// Increases with each round of datagrams in a run; receivers drop those that arrive out of
    /// order.
    pub sequence: u64,
    /// Time since the sender started.
    pub age_ms: u64,
    pub zone: SmolStr,
    /// Whether the sender accepts callers' requests.
    pub is_ready: bool,
    /// Whether the sender is shutting down.
    pub is_leaving: bool,
    /// Whether the sender's reads of the store succeed.
    pub is_store_steady: bool,
    /// Content versions of the sender's replicas, by `Topic::index`.
    pub versions: [u64; 2],
    pub loads: Vec<PeerLoad>,
    pub spent: Vec<TokenUsage>,
    pub crashes: Vec<CrashCount>,
    /// A sample of the peers that are live in the sender's view.
    pub known: Vec<Ipv4Addr>,
    /// Appended to the rest, so that instances of earlier versions can still decode it.
    #[serde(skip)]
    pub notices: Notices,
    /// Requests and parts of prompts under which endpoints have ended. Appended after the notices.
    #[serde(skip)]
    pub crash_reports: CrashReports,
    /// Appended after the crash reports, which are then sent even if they are empty.
    #[serde(skip)]
    pub extension: StatusExtension,
}

impl Status {
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_extend(&self.notices, postcard::to_stdvec(self)?)?;
        if self.crash_reports.is_empty() && self.extension.is_empty() {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.crash_reports, bytes)?;
        if self.extension.is_empty() {
            return Ok(bytes);
        }
        postcard::to_extend(&self.extension, bytes)
    }

    /// Decodes a status. That of an instance of an earlier version lacks what is appended.
    pub fn decode(bytes: &[u8]) -> Result<Status, postcard::Error> {
        let (mut status, rest) = postcard::take_from_bytes::<Status>(bytes)?;
        if !rest.is_empty() {
            let (notices, rest) = postcard::take_from_bytes(rest)?;
            status.notices = notices;
            if !rest.is_empty() {
                let (crash_reports, rest) = postcard::take_from_bytes(rest)?;
                status.crash_reports = crash_reports;
                if !rest.is_empty() {
                    status.extension = postcard::from_bytes(rest)?;
                }
            }
        }
        Ok(status)
    }
}
