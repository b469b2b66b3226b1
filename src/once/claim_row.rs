use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{AttemptId, ContentHash, OrganisationId};

/// Table row that records a call which must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The only attempt that may send the call.
    pub attempt: AttemptId,
    pub request_hash: ContentHash,
    pub claimed_at_unix_s: u64,
    pub state: ClaimState,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The call may have been sent.
    Claimed,
    Done(StoredResponse),
}

/// The response for repeats of the call. Its body is in the row or in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    pub status: u16,
    pub content_type: Option<SmolStr>,
    pub body: StoredBody,
}

/// Small bodies are stored in the row to save a write to the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    Inline(String),
    Object(ContentHash),
}

impl ClaimRow {
    /// Key prefix of all claim rows.
    pub const TABLE_PREFIX: &str = "once/";

    /// Key of the row. The idempotency key is hashed because it may be long or contain slashes.
    pub fn table_key(organisation: &OrganisationId, idempotency_key: &str) -> String {
        let hash = ContentHash::of_bytes(idempotency_key.as_bytes());
        format!("{}{organisation}/{hash}", ClaimRow::TABLE_PREFIX)
    }
}
