use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::settings::values::{
    addresses_ttl, body_bytes, host_and_port, listen_address, optional_address, queue_wait,
    request_count, request_timeout,
};
use crate::settings::{LogSettings, TlsSettings};
use crate::units::{InstanceId, RegionId, ZoneId};

/// Settings of one gateway instance. All other configuration is in the configuration document.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    pub instance: InstanceId,
    pub region: RegionId,
    pub zone: ZoneId,
    /// Listen address for callers and operators. With port 0 the kernel chooses the port.
    #[serde(default = "any_port", deserialize_with = "listen_address")]
    pub http_listen: SocketAddr,
    /// Listen address for peers. With port 0 the kernel chooses the port.
    #[serde(default = "any_port", deserialize_with = "listen_address")]
    pub peer_listen: SocketAddr,
    /// Address at which peers reach this instance, if different from the listen address.
    #[serde(default, deserialize_with = "optional_address")]
    pub peer_advertise: Option<SocketAddr>,
    /// TLS for connections of callers and operators. If unset, connections are plain TCP.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Address of the platform's table, object store and instance list.
    #[serde(deserialize_with = "host_and_port")]
    pub platform_address: SmolStr,
    /// First configuration document of a new deployment. Ignored once the platform has a document.
    #[serde(default)]
    pub first_document_file: Option<PathBuf>,
    /// Maximum size of a request body.
    #[serde(default = "default_max_body_bytes", deserialize_with = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time limit of a request if the caller sets no deadline.
    #[serde(default = "default_request_timeout_ms", deserialize_with = "request_timeout")]
    pub request_timeout_ms: u64,
    /// Maximum time that an interactive request waits for capacity.
    #[serde(default = "default_interactive_queue_ms", deserialize_with = "queue_wait")]
    pub interactive_queue_ms: u64,
    /// Maximum time that a request on a waiting route waits for capacity.
    #[serde(default = "default_waiting_queue_ms", deserialize_with = "queue_wait")]
    pub waiting_queue_ms: u64,
    /// How long callers may cache the response of `/v1/addresses`.
    #[serde(default = "default_addresses_ttl_ms", deserialize_with = "addresses_ttl")]
    pub addresses_ttl_ms: u64,
    /// Number of concurrent requests at which the instance reports full load.
    #[serde(default = "default_max_requests", deserialize_with = "request_count")]
    pub max_requests: u32,
    #[serde(default)]
    pub log: LogSettings,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_max_body_bytes() -> usize {
    4 << 20
}

fn default_request_timeout_ms() -> u64 {
    120_000
}

fn default_interactive_queue_ms() -> u64 {
    2_000
}

fn default_waiting_queue_ms() -> u64 {
    30_000
}

fn default_addresses_ttl_ms() -> u64 {
    2_000
}

fn default_max_requests() -> u32 {
    512
}

/// Builds settings in code, for tests and experiments.
#[derive(Clone, Debug)]
pub struct GatewaySettingsBuilder {
    settings: GatewaySettings,
}

impl GatewaySettingsBuilder {
    /// Creates settings with defaults and an empty platform address.
    pub fn new(instance: InstanceId, region: RegionId, zone: ZoneId) -> GatewaySettingsBuilder {
        GatewaySettingsBuilder {
            settings: GatewaySettings {
                instance,
                region,
                zone,
                http_listen: any_port(),
                peer_listen: any_port(),
                peer_advertise: None,
                tls: None,
                platform_address: SmolStr::default(),
                first_document_file: None,
                max_body_bytes: default_max_body_bytes(),
                request_timeout_ms: default_request_timeout_ms(),
                interactive_queue_ms: default_interactive_queue_ms(),
                waiting_queue_ms: default_waiting_queue_ms(),
                addresses_ttl_ms: default_addresses_ttl_ms(),
                max_requests: default_max_requests(),
                log: LogSettings::default(),
            },
        }
    }

    /// Sets the address of the platform, as HOST:PORT.
    pub fn platform_address(mut self, address: impl Into<SmolStr>) -> GatewaySettingsBuilder {
        self.settings.platform_address = address.into();
        self
    }

    /// Sets the listen address for callers and operators.
    pub fn http_listen(mut self, address: SocketAddr) -> GatewaySettingsBuilder {
        self.settings.http_listen = address;
        self
    }

    /// Sets the listen address for peers.
    pub fn peer_listen(mut self, address: SocketAddr) -> GatewaySettingsBuilder {
        self.settings.peer_listen = address;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> GatewaySettings {
        self.settings
    }
}
