use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::cmd::{CmdError, GatewayClient};

/// Timeout of calls to other instances; those that do not respond are left out.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(2);

/// One instance's view of the fleet: the response of `/admin/v1/status`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct FleetStatus {
    pub instance: SmolStr,
    pub version: u64,
    pub is_confirmed: bool,
    pub has_store: bool,
    pub requests_in_flight: u64,
    pub instances: Vec<InstanceEntry>,
    pub holders: Vec<HolderEntry>,
    /// Endpoints of the pools that the answering instance owns.
    pub endpoints: Vec<EndpointEntry>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct InstanceEntry {
    pub instance: SmolStr,
    pub zone: SmolStr,
    pub http_address: SmolStr,
    pub is_leaving: bool,
    pub load_permille: u32,
    pub version: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct HolderEntry {
    pub shard: SmolStr,
    pub holder: SmolStr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct EndpointEntry {
    pub endpoint: SmolStr,
    pub is_up: bool,
    pub used_slots: u32,
    pub slot_limit: u32,
    /// Current role of the engine.
    pub role: SmolStr,
    pub wanted_role: SmolStr,
    pub next_order: Option<SmolStr>,
    pub is_changing: bool,
    pub waits_for: Option<SmolStr>,
    pub failure: Option<SmolStr>,
}

impl EndpointEntry {
    /// The pending change and what it waits for. `None` if the engine matches the document.
    pub fn change(&self) -> Option<String> {
        let has_wanted = self.next_order.is_none() && self.role == self.wanted_role;
        if has_wanted && !self.is_changing {
            return None;
        }
        let step = match &self.next_order {
            Some(order) => order.to_string(),
            None if self.role != self.wanted_role => format!("role {}", self.wanted_role),
            None => return Some("done, opens next".into()),
        };
        let state = match (&self.failure, &self.waits_for, self.is_changing) {
            (Some(failure), ..) => format!("ORDER FAILED: {failure}"),
            (None, Some(waits_for), _) => format!("waits for {waits_for}"),
            (None, None, true) => "changing".into(),
            (None, None, false) => "next".into(),
        };
        Some(format!("to {step}: {state}"))
    }
}

impl FleetStatus {
    /// Reads the status of an instance.
    pub async fn read(gateway: &GatewayClient) -> Result<FleetStatus, CmdError> {
        let answer = gateway.get_json("status").await?;
        serde_json::from_value(answer).map_err(|_| gateway.malformed("an unknown form of status"))
    }

    /// Adds the endpoints of other pool owners, which only they report.
    pub async fn add_endpoints_of_other_owners(&mut self, gateway: &GatewayClient) {
        let owns_pool = |instance: &InstanceEntry| {
            self.holders
                .iter()
                .any(|h| h.holder == instance.instance && h.shard.starts_with("pool"))
        };
        let others: Vec<SmolStr> = self
            .instances
            .iter()
            .filter(|entry| entry.instance != self.instance && owns_pool(entry))
            .map(|entry| entry.http_address.clone())
            .collect();
        for address in others {
            let other = gateway.with_address(address);
            let read = tokio::time::timeout(INSTANCE_TIMEOUT, FleetStatus::read(&other)).await;
            if let Ok(Ok(status)) = read {
                self.endpoints.extend(status.endpoints);
            }
        }
    }

    /// Instances that do not have the version in force. The version in the status comes from a
    /// heartbeat and may be outdated, so an instance that seems to lag is queried directly.
    pub async fn lagging(&self, gateway: &GatewayClient, wanted: u64) -> Vec<SmolStr> {
        let mut lagging = Vec::new();
        for entry in &self.instances {
            if entry.version >= Some(wanted) {
                continue;
            }
            let own = version_of(&gateway.with_address(entry.http_address.clone())).await;
            match own.max(entry.version) {
                Some(version) if version >= wanted => {}
                Some(version) => lagging.push(format!("{} at {version}", entry.instance).into()),
                None => lagging.push(format!("{} at an unknown version", entry.instance).into()),
            }
        }
        lagging
    }
}

async fn version_of(gateway: &GatewayClient) -> Option<u64> {
    let read = tokio::time::timeout(INSTANCE_TIMEOUT, gateway.get_json("version")).await;
    read.ok()?.ok()?["version"].as_u64()
}
