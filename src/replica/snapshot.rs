use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::{Deserialize, Serialize};
use smol_str::ToSmolStr;

use crate::replica::{RowChange, SourceError};

/// Largest decoded snapshot.
const MAX_DECODED_BYTES: u64 = 64 << 20;

/// All rows of a table at one version of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub version: u64,
    pub rows: Vec<RowChange>,
}

/// Compression of an encoded snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotEncoding {
    Plain,
    Deflate,
}

impl Snapshot {
    /// Encodes the snapshot for peers.
    pub fn encode(&self, encoding: SnapshotEncoding) -> Result<Bytes, SourceError> {
        let plain = postcard::to_stdvec(self).map_err(malformed)?;
        if encoding == SnapshotEncoding::Plain {
            return Ok(plain.into());
        }
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain).map_err(malformed)?;
        Ok(encoder.finish().map_err(malformed)?.into())
    }

    pub fn decode(bytes: &[u8], encoding: SnapshotEncoding) -> Result<Snapshot, SourceError> {
        if encoding == SnapshotEncoding::Plain {
            return postcard::from_bytes(bytes).map_err(malformed);
        }
        let mut plain = Vec::new();
        let mut decoder = ZlibDecoder::new(bytes).take(MAX_DECODED_BYTES);
        decoder.read_to_end(&mut plain).map_err(malformed)?;
        postcard::from_bytes(&plain).map_err(malformed)
    }
}

fn malformed(error: impl ToSmolStr) -> SourceError {
    SourceError::Unavailable { reason: error.to_smolstr() }
}
