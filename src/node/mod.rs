//! An instance that serves callers on a platform, whose store and endpoints it reaches through an
//! adapter. Every instance serves requests independently: state shared between instances improves
//! its decisions, but no request waits for another instance or for the store.

mod drain;
mod node_error;
mod node_handler;
mod node_settings;
mod node_state;
mod peer_replicas;
mod platform_adapter;
mod role_orders;
mod rollout_decider;
mod rollout_orders;
mod rollout_table;
mod run;
mod tasks;

pub use node_error::NodeError;
pub use node_settings::{MachineLimits, NodeSettings, RetrySettings};
pub use node_state::NodeState;
pub use platform_adapter::PlatformAdapter;
pub use rollout_decider::RolloutDecider;
pub use rollout_table::{RolloutLeaseTable, RolloutRow, RolloutTable};
pub use run::run_node;
