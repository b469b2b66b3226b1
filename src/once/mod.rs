//! Calls to plain services: idempotent calls are retried and hedged, all others run at most once.

mod at_most_once;
mod claim_row;
mod delete_expired;
mod expiry_sweep;
mod forward;
mod idempotent;
mod latency;
mod plain_request;

pub use at_most_once::call_at_most_once;
pub use claim_row::{ClaimRow, ClaimState, StoredBody, StoredResponse};
pub use delete_expired::delete_expired;
pub use expiry_sweep::{ExpirySweep, SweepProgress};
pub use forward::forward;
pub use idempotent::call_idempotent;
pub use latency::ServiceLatency;
pub use plain_request::{IDEMPOTENCY_HEADER, PlainRequest, PlainResponse};
