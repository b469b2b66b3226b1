use derive_more::{Display, Error, From};

use crate::store::StoreError;
use crate::units::{InstanceId, ShardId};

/// The reason why a handover failed.
#[derive(Debug, Display, Error, From)]
pub enum LeaseError {
    #[display("lease of {_0} is not held by this instance")]
    #[from(skip)]
    NotHeld(#[error(not(source))] ShardId),
    #[display("{successor} is outside the region of {shard}")]
    #[from(skip)]
    WrongRegion { shard: ShardId, successor: InstanceId },
    #[display("lease row of {_0} changed during the handover")]
    #[from(skip)]
    RowChanged(#[error(not(source))] ShardId),
    #[display("lease table: {_0}")]
    Table(StoreError),
}
