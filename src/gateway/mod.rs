//! The gateway instance: assembles the components and serves callers, peers and operators.

mod addresses;
mod allocator;
mod command;
mod endpoint_clients;
mod gateway_error;
mod gateway_metrics;
mod handler;
mod handover;
mod heartbeats;
mod node;
mod node_draws;
mod node_peers;
mod ownership;
mod peer_versions;
mod process;
mod renew_parts;
mod service;
mod start;
mod status;
mod stop;
mod weight_budget;

pub use command::run_gateway;
pub use endpoint_clients::EndpointClients;
pub use gateway_error::GatewayError;
pub use gateway_metrics::GatewayMetrics;
pub use handler::GatewayHandler;
pub use node::{BUDGET_SHARDS, Node, budget_shard, region_budget_shard_of};
pub use node_draws::NodeDraws;
pub use node_peers::NodePeers;
pub use peer_versions::PeerVersions;
pub use process::run_process;
pub use start::{RunningGateway, instance_list_period, start};
pub use stop::stop;
