//! Assignment of prefill and decode roles to the engines of a service. The utilisation of the
//! engines is monitored, and one instance at a time orders engines to change their role.

mod engine_order;
mod order_lease;
mod pool_sample;
mod pool_usage;
mod role_planner;

pub use engine_order::{EngineReport, OrderResponse, RoleOrder};
pub use order_lease::{FencingToken, LeaseError, LeaseRow, LeaseState, LeaseTable, OrderLease};
pub use pool_sample::PoolSample;
pub use pool_usage::PoolUsage;
pub use role_planner::{RoleChange, plan_role_changes};
