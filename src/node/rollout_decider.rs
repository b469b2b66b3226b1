use std::collections::HashMap;
use std::rc::Rc;

use smol_str::SmolStr;

use crate::clock::Clock;
use crate::node::{RolloutLeaseTable, RolloutRow, RolloutTable};
use crate::replica::SourceError;
use crate::roles::{LeaseError, OrderLease};
use crate::rollout::{PlanInput, RolloutOrder, RolloutState, Verdict, next_state};
use crate::units::ServiceId;

/// Part of an order's time that is left for the order to reach the instance that decides.
const ORDER_DELAY_MS: u64 = 2_000;
/// Time after which the lease's holder reads a state again, which another holder may have changed.
const REREAD_MS: u64 = 2_000;

/// Reads and advances the stored states of roll-outs while this instance holds their lease. A state
/// is only written over the version that was read, so that of two holders only one advances it.
pub struct RolloutDecider<T: RolloutTable, C: Clock> {
    table: Rc<T>,
    clock: C,
    lease: OrderLease<RolloutLeaseTable<T>, C>,
    /// Last reads, with the local time of each.
    rows: HashMap<ServiceId, (RolloutRow, crate::clock::Instant)>,
}

impl<T: RolloutTable, C: Clock> RolloutDecider<T, C> {
    pub fn new(
        table: Rc<T>,
        clock: C,
        holder: SmolStr,
        takeover_delay_ms: u64,
    ) -> RolloutDecider<T, C> {
        let lease_table = Rc::new(RolloutLeaseTable(Rc::clone(&table)));
        let lease = OrderLease::new(lease_table, clock.clone(), holder, takeover_delay_ms);
        RolloutDecider { table, clock, lease, rows: HashMap::new() }
    }

    /// Acquires the lease, or returns at once if it is held.
    pub async fn acquire(&mut self) -> Result<(), LeaseError> {
        if self.lease.token().is_none() {
            self.rows.clear();
        }
        self.lease.acquire().await.map(|_| ())
    }

    /// Whether this instance may decide now.
    pub fn is_holder(&self) -> bool {
        self.lease.token().is_some()
    }

    /// Returns the newest stored state of a roll-out, after its next step is written if one is due.
    /// `None` if the store has a later order than this instance.
    pub async fn advance(
        &mut self,
        order: &RolloutOrder,
        order_version: u64,
        verdict: Verdict,
        is_moved: impl FnOnce(&RolloutState) -> bool,
    ) -> Result<Option<RolloutState>, SourceError> {
        let row = self.read(&order.service).await?;
        let known = row.state.clone();
        let next = match &known {
            Some(state) if state.order > order_version => return Ok(None),
            Some(state) if state.order == order_version => {
                let is_moved = is_moved(state);
                next_state(state, &PlanInput { store_ms: row.store_ms, verdict, is_moved })
            }
            _ => {
                let time_ms = order.deadline_ms.saturating_sub(ORDER_DELAY_MS);
                let deadline_store_ms = row.store_ms + time_ms.max(order.deadline_ms / 2);
                let target = order.target.clone();
                Some(RolloutState::first(order_version, target, row.store_ms, deadline_store_ms))
            }
        };
        let Some(next) = next else { return Ok(known) };
        if !self.is_holder() {
            return Ok(known);
        }
        self.rows.remove(&order.service);
        let written = self.table.write_rollout(&order.service, &next, row.version).await?;
        let Some(version) = written else { return Ok(known) };
        let row = RolloutRow { state: Some(next.clone()), version, store_ms: row.store_ms };
        self.rows.insert(order.service.clone(), (row, self.clock.now()));
        Ok(Some(next))
    }

    /// The stored state, with the present time of the store's clock.
    async fn read(&mut self, service: &ServiceId) -> Result<RolloutRow, SourceError> {
        let now = self.clock.now();
        if let Some((row, read_at)) = self.rows.get(service)
            && now.ms_since(*read_at) < REREAD_MS
        {
            let store_ms = row.store_ms + now.ms_since(*read_at);
            return Ok(RolloutRow { store_ms, ..row.clone() });
        }
        let row = self.table.read_rollout(service).await?;
        self.rows.insert(service.clone(), (row.clone(), self.clock.now()));
        Ok(row)
    }
}
