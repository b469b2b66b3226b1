use std::rc::Rc;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::clock::{Clock, Instant};
use crate::replica::SourceError;

/// Time for which a lease is held.
const TERM_MS: u64 = 8_000;
/// Time before the end of a lease from which on it is not used any more: longer than an order
/// takes to reach an engine.
const LAST_USE_MS: u64 = 1_500;

/// Grows with each holder of a lease, so that engines can tell orders of a former one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct FencingToken(pub u64);

/// Who holds the lease, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    pub holder: SmolStr,
    /// End of the lease on the store's clock.
    pub until_store_ms: u64,
}

/// The row with its version, 0 if there is none, and the store's time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseState {
    pub row: Option<LeaseRow>,
    pub version: u64,
    pub store_ms: u64,
}

/// Where the lease lies.
#[allow(async_fn_in_trait)]
pub trait LeaseTable: 'static {
    async fn read_lease(&self) -> Result<LeaseState, SourceError>;

    /// Writes the row if its version is still `expected`. Returns the new version, or `None` if
    /// another one was there.
    async fn write_lease(&self, row: &LeaseRow, expected: u64) -> Result<Option<u64>, SourceError>;
}

/// Why there is no lease.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum LeaseError {
    #[display("another instance holds or has just held it")]
    #[from(ignore)]
    Held,
    #[display("another instance was faster")]
    #[from(ignore)]
    Lost,
    #[display("{_0}")]
    Store(SourceError),
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    token: FencingToken,
    last_use: Instant,
}

/// The right to give orders to engines, for one instance at a time.
pub struct OrderLease<T, C> {
    table: Rc<T>,
    clock: C,
    holder: SmolStr,
    /// Time after the end of a lease in which no other instance takes it.
    turn_ms: u64,
    grant: Option<Grant>,
}

impl<T: LeaseTable, C: Clock> OrderLease<T, C> {
    /// `holder` names this run of the instance.
    pub fn new(table: Rc<T>, clock: C, holder: SmolStr, turn_ms: u64) -> OrderLease<T, C> {
        OrderLease { table, clock, holder, turn_ms, grant: None }
    }

    pub fn holder(&self) -> &SmolStr {
        &self.holder
    }

    /// The token, while the lease may still be used.
    pub fn token(&self) -> Option<FencingToken> {
        let now = self.clock.now();
        self.grant.filter(|grant| now < grant.last_use).map(|grant| grant.token)
    }

    /// Takes the lease unless it is held already.
    pub async fn acquire(&mut self) -> Result<FencingToken, LeaseError> {
        if let Some(token) = self.token() {
            return Ok(token);
        }
        self.grant = None;
        // The term counts from before the store's time was read.
        let asked_at = self.clock.now();
        let state = self.table.read_lease().await?;
        if let Some(row) = &state.row {
            let turn_ms = if row.holder == self.holder { 0 } else { self.turn_ms };
            if state.store_ms < row.until_store_ms.saturating_add(turn_ms) {
                return Err(LeaseError::Held);
            }
        }
        let until_store_ms = state.store_ms + TERM_MS;
        let row = LeaseRow { holder: self.holder.clone(), until_store_ms };
        // A write whose answer is lost may still be applied. It then only keeps others away.
        let version = self.table.write_lease(&row, state.version).await?;
        let token = FencingToken(version.ok_or(LeaseError::Lost)?);
        let last_use = asked_at.plus_ms(TERM_MS - LAST_USE_MS);
        self.grant = Some(Grant { token, last_use });
        Ok(token)
    }

    /// Gives up a token that an engine refused.
    pub fn invalidate(&mut self) {
        self.grant = None;
    }
}
