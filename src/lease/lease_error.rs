use derive_more::{Display, Error, From};

use crate::store::StoreError;
use crate::units::{InstanceId, ShardId};

/// A handover that did not succeed.
#[derive(Debug, Display, Error, From)]
pub enum LeaseError {
    #[display("the lease of {_0} is not held by this instance")]
    #[from(skip)]
    NotHeld(#[error(not(source))] ShardId),
    #[display("{successor} is outside the region of {shard}")]
    #[from(skip)]
    WrongRegion { shard: ShardId, successor: InstanceId },
    #[display("the row of {_0} changed during the handover")]
    #[from(skip)]
    RowChanged(#[error(not(source))] ShardId),
    #[display("table: {_0}")]
    Table(StoreError),
}
