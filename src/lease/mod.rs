//! Leases on shards: acquisition, renewal, extension by witnesses, takeover, handover.

mod holding;
mod lease_claim;

pub use holding::Holding;
pub use lease_claim::LeaseClaim;
