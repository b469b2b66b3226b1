use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{ContentHash, Version};

/// A change of the document: replaces `removed_bytes` at `offset_bytes` of the whole text by
/// `inserted`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change creates.
    pub version: Version,
    pub section: SmolStr,
    pub offset_bytes: u64,
    pub removed_bytes: u64,
    pub inserted: String,
    /// Hash of the whole text after the change.
    pub content_hash: ContentHash,
}

impl Change {
    /// Value of `section` for a change that only replaces the configuration witnesses; `inserted`
    /// lists the new witnesses as JSON.
    pub const WITNESSES: &'static str = "@witnesses";
    /// Value of `section` for the first document, whose text is only in the object store.
    pub const FIRST: &'static str = "@first";
}
