use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{AttemptId, ContentHash, OrganisationId};

/// Table row of a call that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The only attempt that may make the call.
    pub attempt: AttemptId,
    pub request_hash: ContentHash,
    pub claimed_at_unix_s: u64,
    pub state: ClaimState,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The call may have been made.
    Claimed,
    Done(StoredAnswer),
}

/// The answer that repeats of the call get. Its body is in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    pub status: u16,
    pub content_type: Option<SmolStr>,
    pub body: StoredBody,
}

/// Small bodies stay in the row, so that a call costs no write to the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    Inline(String),
    Object(ContentHash),
}

impl ClaimRow {
    /// Prefix of the keys of all rows.
    pub const TABLE_PREFIX: &str = "once/";

    /// Key of the row. The caller's text is hashed, since it may be long or contain slashes.
    pub fn table_key(organisation: &OrganisationId, idempotency_key: &str) -> String {
        let hash = ContentHash::of_bytes(idempotency_key.as_bytes());
        format!("{}{organisation}/{hash}", ClaimRow::TABLE_PREFIX)
    }
}
