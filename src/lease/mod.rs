//! Leases on shards: acquisition, renewal, extension by witnesses, takeover and handover.
//!
//! Safety depends on three rules. A row changes only by compare-and-set on its revision. A holder
//! computes its deadline from the time before it sent the call that succeeded. A candidate that
//! takes over has seen the row unchanged for longer than the TTL and has the consent of a majority
//! of the row's witnesses, each of which then refuses to extend that fencing token.

mod acquire;
mod extend;
mod hand_over;
mod held_lease;
mod holding;
mod known_holdings;
mod lease_claim;
mod lease_error;
mod lease_event;
mod lease_row;
mod leases;
mod leases_builder;
mod observed_row;
mod own_lease;
mod poll;
mod promises;
mod ranking;
mod rebalance;
mod renew;
mod selection;
mod votes;
mod witnesses;

pub use held_lease::HeldLease;
pub use holding::Holding;
pub use lease_claim::LeaseClaim;
pub use lease_error::LeaseError;
pub use lease_event::LeaseEvent;
pub use lease_row::{LeaseRow, Witness};
pub use leases::Leases;
pub use leases_builder::{LeasesBuilder, StateSender};
pub use witnesses::Witnesses;
