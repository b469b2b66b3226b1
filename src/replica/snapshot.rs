use serde::{Deserialize, Serialize};
use smol_str::ToSmolStr;

use crate::replica::{RowChange, SourceError};

/// All rows of a table at one version of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub version: u64,
    pub rows: Vec<RowChange>,
}

impl Snapshot {
    /// Encodes the snapshot for peers.
    pub fn encode(&self) -> Result<Vec<u8>, SourceError> {
        postcard::to_stdvec(self).map_err(malformed)
    }

    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SourceError> {
        postcard::from_bytes(bytes).map_err(malformed)
    }
}

fn malformed(error: postcard::Error) -> SourceError {
    SourceError::Unavailable { reason: error.to_smolstr() }
}
