use std::rc::Rc;

use crate::replica::SourceError;
use crate::roles::{LeaseRow, LeaseState, LeaseTable};
use crate::rollout::RolloutState;
use crate::units::ServiceId;

/// The stored state of a roll-out, the version of its row (0 if there is none) and the time of the
/// store's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRow {
    pub state: Option<RolloutState>,
    pub version: u64,
    pub store_ms: u64,
}

/// Tables of the store that hold the states of roll-outs and the lease of the instance that
/// decides on them.
#[allow(async_fn_in_trait)]
pub trait RolloutTable: 'static {
    async fn read_rollout(&self, service: &ServiceId) -> Result<RolloutRow, SourceError>;

    /// Writes the state, and the status that operators read, if the version of the state's row is
    /// still `expected`. Returns the new version, or `None` on a version conflict.
    async fn write_rollout(
        &self,
        service: &ServiceId,
        state: &RolloutState,
        expected: u64,
    ) -> Result<Option<u64>, SourceError>;

    async fn read_rollout_lease(&self) -> Result<LeaseState, SourceError>;

    async fn write_rollout_lease(
        &self,
        row: &LeaseRow,
        expected: u64,
    ) -> Result<Option<u64>, SourceError>;
}

/// The lease on roll-outs, which is separate from that on role orders.
pub struct RolloutLeaseTable<T>(pub Rc<T>);

impl<T: RolloutTable> LeaseTable for RolloutLeaseTable<T> {
    async fn read_lease(&self) -> Result<LeaseState, SourceError> {
        self.0.read_rollout_lease().await
    }

    async fn write_lease(&self, row: &LeaseRow, expected: u64) -> Result<Option<u64>, SourceError> {
        self.0.write_rollout_lease(row, expected).await
    }
}
