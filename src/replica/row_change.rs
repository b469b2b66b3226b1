use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The newest value of a row, `None` if it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    pub key: SmolStr,
    pub version: u64,
    pub value: Option<Bytes>,
}
