use derive_more::{Display, Error};
use smol_str::SmolStr;

use crate::catalog::{Endpoint, ServiceConfiguration};
use crate::clock::Instant;
use crate::rollout::RolloutOrder;
use crate::units::ZoneId;

/// A row whose value cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("row {key}: {reason}")]
pub struct DecodeError {
    pub key: SmolStr,
    pub reason: SmolStr,
}

/// A row written by operators.
#[derive(Debug)]
pub enum OperatorRow {
    Configuration(Box<ServiceConfiguration>),
    /// The zone is out of service while the row exists.
    ZoneOutOfService(ZoneId),
    Rollout(RolloutOrder),
    Other,
}

/// Decodes rows of the store. Implemented by the adapter that knows their format.
pub trait RowDecoder: 'static {
    fn operator_row(&self, key: &str, value: &[u8]) -> Result<OperatorRow, DecodeError>;

    fn endpoint(&self, key: &str, value: &[u8], now: Instant) -> Result<Endpoint, DecodeError>;
}
