use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The newest version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    pub key: SmolStr,
    pub version: u64,
    /// `None` if the row was deleted.
    pub value: Option<Bytes>,
}
