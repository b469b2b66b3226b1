use derive_more::{Display, Error, From};

use crate::units::UnitError;

/// The reason why a call to a peer failed.
#[derive(Clone, Debug, Display, Error, From)]
pub enum PeerError {
    #[display("no connection to the peer")]
    #[from(ignore)]
    NotConnected,
    #[display("peer did not answer in time")]
    #[from(ignore)]
    Timeout,
    #[display("peer does not hold the shard")]
    #[from(ignore)]
    NotHolder,
    #[display("peer protocol error: {_0}")]
    Protocol(capnp::Error),
    #[display("peer sent malformed text: {_0}")]
    Utf8(std::str::Utf8Error),
    #[display("peer sent a malformed value: {_0}")]
    Unit(UnitError),
    #[display("peer sent an unknown enumerant or union member")]
    Schema(capnp::NotInSchema),
}

impl From<PeerError> for capnp::Error {
    fn from(error: PeerError) -> capnp::Error {
        match error {
            PeerError::Protocol(error) => error,
            other => capnp::Error::failed(other.to_string()),
        }
    }
}
