use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Deserialize;
use smol_str::SmolStr;

use crate::balance::RetryLimits;
use crate::rollout::RolloutSettings;
use crate::units::{InstanceId, ZoneId};

/// Settings of an instance, read from a JSON file with comments.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    pub instance: InstanceId,
    pub zone: ZoneId,
    /// Address of this machine, under which peers know the instance.
    pub address: Ipv4Addr,
    /// Listener for callers' requests.
    pub caller_address: SocketAddr,
    /// Listener for the platform's readiness checks.
    pub ready_address: SocketAddr,
    /// Listener for callers' lookups of the addresses of instances.
    pub lookup_address: SocketAddr,
    /// HTTP listener from which peers read this instance's replicas of the store's tables.
    pub peer_address: SocketAddr,
    /// UDP port of the status exchange between instances; the same on all machines.
    pub status_port: u16,
    pub metrics_port: u16,
    /// Addresses of instances to contact first. May be outdated.
    pub seeds: Vec<SocketAddrV4>,
    pub store_address: SmolStr,
    /// Whether the whole system starts for the first time, so that no other instance can have spent
    /// any tokens of the organisations yet.
    pub is_first_start: bool,
    /// Time between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// Maximum time for which callers may cache the answer to an address lookup.
    pub address_keep_s: f64,
    /// Window over which organisations' rates are counted.
    pub rate_window_s: f64,
    pub retry: RetrySettings,
    /// Time after one instance's orders to engines during which no other instance gives any.
    #[serde(default = "default_order_turn_ms")]
    pub order_turn_ms: u64,
    #[serde(default)]
    pub machine: MachineLimits,
    /// Whether the pace of endpoints that start or recover is found from their answers, where the
    /// configuration gives no cold rates.
    #[serde(default)]
    pub finds_pace: bool,
    /// Parts of the rules that are in force.
    #[serde(default)]
    pub contracts: Vec<SmolStr>,
    /// Limits of roll-outs. Without them or without their contract there are none.
    pub rollout: Option<RolloutSettings>,
}

/// Contract under which roll-outs are ordered.
const ROLLOUT_CONTRACT: &str = "rollout";

impl NodeSettings {
    /// Limits of roll-outs; `None` if the deployment has none.
    pub fn rollout_settings(&self) -> Option<RolloutSettings> {
        let is_named = self.contracts.iter().any(|contract| contract == ROLLOUT_CONTRACT);
        self.rollout.filter(|_| is_named)
    }
}

/// Limits of the machine, above which the platform ends the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineLimits {
    pub memory_mb: u64,
    /// Maximum number of open file descriptors, including those that the platform reserves for
    /// files.
    pub max_descriptors: u64,
}

impl Default for MachineLimits {
    /// Limits of a machine whose settings name none.
    fn default() -> MachineLimits {
        MachineLimits { memory_mb: 256, max_descriptors: 4_096 }
    }
}

/// Limit on retries of requests, per service and for all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    pub window_s: f64,
    /// Retries allowed per request.
    pub share: f64,
    /// Retries allowed per window in addition to `share`.
    pub extra: f64,
}

impl RetrySettings {
    pub fn limits(&self) -> RetryLimits {
        let window_ms = (self.window_s * 1000.0) as u64;
        RetryLimits { window_ms, share: self.share, extra: self.extra }
    }
}

/// Default of `order_turn_ms`: the shortest value among the known deployments.
fn default_order_turn_ms() -> u64 {
    3_000
}
