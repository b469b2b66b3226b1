use std::rc::Rc;

use smol_str::SmolStr;
use tokio::sync::watch;

use crate::budget::{Allowances, Budgets, DrawAnswer, DrawRequest, RegionBudgets, RequestClaims};
use crate::clock::BootClock;
use crate::config::{Configuration, Endpoint, ServiceState};
use crate::engine::HttpEngine;
use crate::gateway::{EndpointClients, GatewayMetrics, NodeDraws, NodePeers, PeerVersions};
use crate::http::HttpClient;
use crate::lease::{HeldLease, Leases};
use crate::once::ServiceLatency;
use crate::peer::{Membership, Peers};
use crate::pool::{EngineFactory, Pools};
use crate::route::FreeSlots;
use crate::serve::{InFlight, LiveAttempts, LiveClaims, RetryBudget};
use crate::settings::GatewaySettings;
use crate::store::HttpStore;
use crate::suspect::Suspects;
use crate::units::{OrganisationId, ShardId};

/// Number of shards of organisations. Fixed, since all instances must agree on it.
pub const BUDGET_SHARDS: u32 = 16;

/// The shard that holds an organisation's budget and request ids.
pub fn budget_shard(organisation: &OrganisationId) -> ShardId {
    ShardId::of_organisation(organisation, BUDGET_SHARDS)
}

/// The shard of this instance's region that holds the region's part of a budget shard.
pub fn region_budget_shard_of(node: &Node, budget_shard: &ShardId) -> ShardId {
    let index = match budget_shard {
        ShardId::Budget(index) => index % ShardId::BUDGET_SHARDS_PER_REGION,
        ShardId::RegionBudget { .. } | ShardId::Pool { .. } => return budget_shard.clone(),
    };
    ShardId::RegionBudget { region: node.settings.region.clone(), index }
}

/// Components and state of one gateway instance.
pub struct Node {
    pub settings: GatewaySettings,
    pub clock: BootClock,
    pub platform: HttpStore,
    pub membership: Rc<Membership<BootClock>>,
    pub peers: Peers<BootClock>,
    pub leases: Rc<Leases<HttpStore, NodePeers, BootClock>>,
    pub configuration: Rc<Configuration<HttpStore, HttpStore, BootClock, NodePeers>>,
    pub budgets: Budgets<BootClock>,
    pub region_budgets: RegionBudgets<BootClock>,
    pub claims: RequestClaims<BootClock>,
    pub allowances: Rc<Allowances<BootClock, NodeDraws>>,
    pub endpoint_clients: Rc<EndpointClients>,
    pub pools: Rc<Pools<SharedEngines, BootClock>>,
    pub suspects: Rc<Suspects<BootClock>>,
    pub running_attempts: LiveAttempts,
    pub live_claims: LiveClaims,
    pub free_slots: FreeSlots,
    pub retry_budget: RetryBudget,
    pub in_flight: InFlight,
    pub service_latency: ServiceLatency,
    pub versions: PeerVersions,
    pub metrics: GatewayMetrics,
    /// True once a planned stop refuses new connections.
    pub shutdown: watch::Sender<bool>,
}

/// Lets the pools share the connections of the request path.
pub struct SharedEngines(pub Rc<EndpointClients>);

impl EngineFactory for SharedEngines {
    type Engine = HttpEngine;

    fn engine(&self, address: &str) -> HttpEngine {
        self.0.get(address)
    }
}

impl Node {
    /// The shard whose holder grants this instance's draws.
    pub fn draw_shard(&self, organisation: &OrganisationId) -> ShardId {
        let shard = budget_shard(organisation);
        if self.region_budgets.is_divided() { region_budget_shard_of(self, &shard) } else { shard }
    }

    /// Answers a draw as holder of `shard`, the organisation's budget or its part in this region.
    pub fn draw_locally(
        &self,
        shard: &ShardId,
        request: &DrawRequest,
        held: &HeldLease,
    ) -> DrawAnswer {
        match shard {
            ShardId::RegionBudget { .. } => self.region_budgets.draw(request, held.deadline),
            ShardId::Budget(_) | ShardId::Pool { .. } => self.budgets.draw(request, held.deadline),
        }
    }

    /// Requests in flight as a share of the maximum.
    pub fn load_permille(&self) -> u32 {
        let max_requests = self.settings.max_requests.max(1);
        (u64::from(self.in_flight.count()) * 1000 / u64::from(max_requests)) as u32
    }

    /// Clients of a plain service's active endpoints, those of this zone first.
    pub fn plain_clients(&self, service: &SmolStr) -> Vec<HttpClient> {
        let current = self.configuration.current();
        let document = &current.document;
        let mut endpoints: Vec<_> = document
            .endpoints
            .values()
            .filter_map(|endpoint| match endpoint {
                Endpoint::Plain(plain) if plain.service == *service => Some(plain),
                _ => None,
            })
            .filter(|plain| {
                let zone_state = document.zones.get(&plain.zone).map(|zone| zone.state);
                plain.state == ServiceState::In && zone_state == Some(ServiceState::In)
            })
            .collect();
        // Random order within a zone, so that its instances do not all use the same endpoint.
        endpoints
            .sort_by_cached_key(|plain| (plain.zone != self.settings.zone, rand::random::<u32>()));
        endpoints.iter().map(|plain| self.endpoint_clients.service(&plain.address)).collect()
    }
}
