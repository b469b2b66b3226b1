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

impl Change {
    /// Names, in place of a section, a change that leaves the text as it is and replaces the
    /// configuration witnesses; `inserted` lists the new ones.
    pub const WITNESSES: &'static str = "@witnesses";
    /// Names, in place of a section, the first document. Its text is only in the object store.
    pub const FIRST: &'static str = "@first";
}
