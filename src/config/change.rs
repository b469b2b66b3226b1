use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{ContentHash, Version};

/// One change of the document: replaces `removed_bytes` at `offset_bytes` of the whole text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version after the change.
    pub version: Version,
    pub section: SmolStr,
    pub offset_bytes: u64,
    pub removed_bytes: u64,
    pub inserted: String,
    /// Hash of the whole text after the change.
    pub content_hash: ContentHash,
}
