use serde::Serialize;
use smol_str::SmolStr;

use crate::gateway::Node;
use crate::pool::EndpointStatus;
use crate::units::{Incarnation, InstanceId, ShardId, Version, ZoneId};

/// Response of `GET /admin/v1/status`: this instance's view of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub version: Version,
    pub is_confirmed: bool,
    pub has_store: bool,
    pub is_leaving: bool,
    pub requests_in_flight: u32,
    pub live_attempts: usize,
    pub instances: Vec<InstanceStatus>,
    pub holders: Vec<HolderStatus>,
    /// Endpoints of the pools that this instance holds.
    pub endpoints: Vec<PoolEndpoint>,
}

#[derive(Clone, Debug, Serialize)]
pub struct InstanceStatus {
    pub instance: InstanceId,
    pub zone: ZoneId,
    pub http_address: SmolStr,
    pub is_leaving: bool,
    pub load_permille: u32,
    /// Version in force on the instance, from its last heartbeat.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
}

#[derive(Clone, Debug, Serialize)]
pub struct PoolEndpoint {
    pub shard: ShardId,
    #[serde(flatten)]
    pub status: EndpointStatus,
}

#[derive(Clone, Debug, Serialize)]
pub struct HolderStatus {
    pub shard: ShardId,
    pub holder: InstanceId,
    pub fencing: u64,
}

impl Status {
    pub fn of(node: &Node) -> Status {
        let own = node.membership.local_member();
        let confirmation = node.configuration.confirmation();
        let mut members = node.membership.live_peers();
        members.push(own.clone());
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        let shards = crate::gateway::ownership::shards_of(&node.configuration.current().document);
        let endpoints = shards.iter().flat_map(|shard| {
            let statuses = node.pools.status(shard).into_iter();
            statuses.map(|status| PoolEndpoint { shard: shard.clone(), status })
        });
        let holders = shards.iter().filter_map(|shard| {
            let holding = node.leases.holding(shard)?;
            Some(HolderStatus {
                shard: shard.clone(),
                holder: holding.holder,
                fencing: holding.fencing.0,
            })
        });
        Status {
            instance: own.instance.clone(),
            incarnation: own.incarnation,
            version: confirmation.version,
            is_confirmed: node.configuration.is_confirmed(),
            has_store: confirmation.has_store,
            is_leaving: own.is_leaving,
            requests_in_flight: node.in_flight.count(),
            live_attempts: node.running_attempts.len(),
            instances: members
                .into_iter()
                .map(|member| InstanceStatus {
                    version: if member.instance == own.instance {
                        Some(confirmation.version)
                    } else {
                        node.versions.version_of(&member.instance)
                    },
                    instance: member.instance,
                    zone: member.zone,
                    http_address: member.http_address,
                    is_leaving: member.is_leaving,
                    load_permille: member.load_permille,
                })
                .collect(),
            holders: holders.collect(),
            endpoints: endpoints.collect(),
        }
    }
}
