use std::net::Ipv4Addr;

use bytes::Bytes;

use crate::replica::{SnapshotEncoding, SourceError, Topic};

/// Reads encoded snapshots of peers' replicas.
#[allow(async_fn_in_trait)]
pub trait PeerSource: 'static {
    type Transfer: PeerTransfer;

    /// Starts the transfer of a peer's snapshot.
    async fn open(&self, peer: Ipv4Addr, topic: Topic) -> Result<Self::Transfer, SourceError>;
}

/// A running transfer of a snapshot. Dropping it ends the transfer.
#[allow(async_fn_in_trait)]
pub trait PeerTransfer {
    fn encoding(&self) -> SnapshotEncoding;

    /// Returns the next part, or `None` at the end.
    async fn next_part(&mut self) -> Option<Result<Bytes, SourceError>>;
}
