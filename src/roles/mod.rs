//! Which engines of a service read prompts and which generate: what the engines are used for is
//! watched, and one instance at a time orders engines to change.

mod engine_order;
mod order_lease;
mod pool_sample;
mod pool_usage;
mod role_planner;

pub use engine_order::{EngineReport, OrderAnswer, RoleOrder};
pub use order_lease::{FencingToken, LeaseError, LeaseRow, LeaseState, LeaseTable, OrderLease};
pub use pool_sample::PoolSample;
pub use pool_usage::PoolUsage;
pub use role_planner::{RoleChange, plan_role_changes};
