//! Lease that lets one instance at a time order engines to change their role.

use std::rc::Rc;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::clock::{Clock, Instant};
use crate::replica::SourceError;

/// Duration of a lease.
const LEASE_DURATION_MS: u64 = 8_000;
/// Time before the end of a lease at which its holder stops using it. Longer than an order takes to
/// reach an engine.
const EXPIRY_MARGIN_MS: u64 = 1_500;

/// Increases with each acquisition of the lease, so that engines can reject orders of a previous
/// holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct FencingToken(pub u64);

/// Lease row as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    pub holder: SmolStr,
    /// End of the lease on the store's clock.
    pub until_store_ms: u64,
}

/// The lease row, its version (0 if there is no row) and the time of the store's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseState {
    pub row: Option<LeaseRow>,
    pub version: u64,
    pub store_ms: u64,
}

/// Table of the store that holds the lease.
#[allow(async_fn_in_trait)]
pub trait LeaseTable: 'static {
    async fn read_lease(&self) -> Result<LeaseState, SourceError>;

    /// Writes the row if its version is still `expected`. Returns the new version, or `None` on a
    /// version conflict.
    async fn write_lease(&self, row: &LeaseRow, expected: u64) -> Result<Option<u64>, SourceError>;
}

/// Reason why the lease was not acquired.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum LeaseError {
    #[display("another instance holds the lease or its takeover delay has not passed")]
    #[from(ignore)]
    Held,
    #[display("another instance acquired the lease first")]
    #[from(ignore)]
    Lost,
    #[display("{_0}")]
    Store(SourceError),
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    token: FencingToken,
    usable_until: Instant,
}

/// Exclusive right of one instance to send orders to engines.
pub struct OrderLease<T, C> {
    table: Rc<T>,
    clock: C,
    holder: SmolStr,
    /// Time after the end of a lease before another instance may take it over.
    takeover_delay_ms: u64,
    grant: Option<Grant>,
}

impl<T: LeaseTable, C: Clock> OrderLease<T, C> {
    /// `holder` identifies this process of the instance.
    pub fn new(
        table: Rc<T>,
        clock: C,
        holder: SmolStr,
        takeover_delay_ms: u64,
    ) -> OrderLease<T, C> {
        OrderLease { table, clock, holder, takeover_delay_ms, grant: None }
    }

    pub fn holder(&self) -> &SmolStr {
        &self.holder
    }

    /// The fencing token while the lease may be used.
    pub fn token(&self) -> Option<FencingToken> {
        let now = self.clock.now();
        self.grant.filter(|grant| now < grant.usable_until).map(|grant| grant.token)
    }

    /// Acquires the lease, or returns the current token if it is already held.
    pub async fn acquire(&mut self) -> Result<FencingToken, LeaseError> {
        if let Some(token) = self.token() {
            return Ok(token);
        }
        self.grant = None;
        // The duration counts from before the store's clock was read, so that the local expiry is
        // never later than the stored one.
        let requested_at = self.clock.now();
        let state = self.table.read_lease().await?;
        if let Some(row) = &state.row {
            let takeover_delay_ms =
                if row.holder == self.holder { 0 } else { self.takeover_delay_ms };
            if state.store_ms < row.until_store_ms.saturating_add(takeover_delay_ms) {
                return Err(LeaseError::Held);
            }
        }
        let until_store_ms = state.store_ms + LEASE_DURATION_MS;
        let row = LeaseRow { holder: self.holder.clone(), until_store_ms };
        // A write whose response is lost may still be applied. It then only blocks other instances
        // until it expires.
        let version = self.table.write_lease(&row, state.version).await?;
        let token = FencingToken(version.ok_or(LeaseError::Lost)?);
        let usable_until = requested_at.plus_ms(LEASE_DURATION_MS - EXPIRY_MARGIN_MS);
        self.grant = Some(Grant { token, usable_until });
        Ok(token)
    }

    /// Discards the lease after an engine rejected its token.
    pub fn invalidate(&mut self) {
        self.grant = None;
    }
}
