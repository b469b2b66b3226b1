use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Deserialize;
use smol_str::SmolStr;

use crate::balance::RetryLimits;
use crate::units::{InstanceId, ZoneId};

/// Settings of an instance, JSON with comments.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    pub instance: InstanceId,
    pub zone: ZoneId,
    /// This machine's address.
    pub address: Ipv4Addr,
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether the instance is ready.
    pub ready_address: SocketAddr,
    /// Where callers ask which instances to use.
    pub lookup_address: SocketAddr,
    /// Where peers read this instance's copies of the store's tables, over HTTP.
    pub peer_address: SocketAddr,
    /// UDP port of the exchange between instances; the same on all machines.
    pub status_port: u16,
    pub metrics_port: u16,
    /// Instances to begin with. May be stale.
    pub seeds: Vec<SocketAddrV4>,
    pub store_address: SmolStr,
    /// The whole system starts for the first time, so that no other instance can have spent
    /// anything.
    pub is_first_start: bool,
    /// Time between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// Longest time for which callers may keep an answer about addresses.
    pub address_keep_s: f64,
    /// Span over which organisations' rates are counted.
    pub rate_window_s: f64,
    pub retry: RetrySettings,
    /// Time after one instance's orders to engines in which no other one gives any.
    #[serde(default = "default_order_turn_ms")]
    pub order_turn_ms: u64,
}

/// Limit on further sends of requests, for all instances and each service.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    pub window_s: f64,
    /// Further sends for each request.
    pub share: f64,
    /// Further sends in a window beside the share.
    pub extra: f64,
}

impl RetrySettings {
    pub fn limits(&self) -> RetryLimits {
        let window_ms = (self.window_s * 1000.0) as u64;
        RetryLimits { window_ms, share: self.share, extra: self.extra }
    }
}

/// As long as the shortest turn of the deployments known.
fn default_order_turn_ms() -> u64 {
    3_000
}
