//! Assembles and starts a gateway instance.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::budget::{Allowances, Budgets, RegionBudgets, RequestClaims};
use crate::clock::BootClock;
use crate::config::{Configuration, Witness};
use crate::gateway::handover::send_state;
use crate::gateway::node::SharedEngines;
use crate::gateway::ownership::{apply_configuration, apply_lease_events};
use crate::gateway::renew_parts::renew_parts;
use crate::gateway::weight_budget::weight_load_limiter;
use crate::gateway::{
    EndpointClients, GatewayError, GatewayHandler, GatewayMetrics, Node, NodeDraws, NodePeers,
    PeerVersions,
};
use crate::http::{ServeOptions, Transport, serve_with};
use crate::lease::{LeasesBuilder, StateSender};
use crate::once::{ServiceLatency, delete_expired};
use crate::peer::{Member, Membership, Peers, accept_peers};
use crate::pool::Pools;
use crate::route::{FreeSlots, report_progress};
use crate::serve::{InFlight, LiveAttempts, LiveClaims, RetryBudget, maintain_claims};
use crate::settings::GatewaySettings;
use crate::store::{HttpStore, InstanceList, ListedInstance, ListedState};
use crate::suspect::Suspects;
use crate::units::{Incarnation, Version};

const LIST_PERIOD: Duration = Duration::from_secs(5);
/// The list is read less often in a large fleet, since every read returns all of it: one entry of
/// 200 B per 40 ms is 5 KB/s. Heartbeats announce new members long before the list does.
const LIST_PERIOD_PER_ENTRY: Duration = Duration::from_millis(40);
/// Below 15 s: witnesses count as gone only while the last read of the list is more recent.
const MAX_LIST_PERIOD: Duration = Duration::from_secs(12);
const LIST_STARTUP_PERIOD: Duration = Duration::from_millis(250);
const STARTUP_ROUNDS: u32 = 40;
const BOOTSTRAP_RETRY_DELAY: Duration = Duration::from_millis(500);
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// A running instance. Dropping it ends all its tasks.
pub struct RunningGateway {
    pub node: Rc<Node>,
    pub http_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub tasks: JoinSet<()>,
    /// Ends when the last connection has closed after the shutdown.
    pub server: tokio::task::JoinHandle<()>,
}

/// Starts an instance on the current `LocalSet`. It serves authenticated requests once it has the
/// configuration.
pub async fn start(
    settings: GatewaySettings,
    metrics: GatewayMetrics,
) -> Result<RunningGateway, GatewayError> {
    let http_listener = listen(settings.http_listen).await?;
    let peer_listener = listen(settings.peer_listen).await?;
    let http_address = local_address(&http_listener, settings.http_listen);
    let peer_address = local_address(&peer_listener, settings.peer_listen);
    let own = Member {
        instance: settings.instance.clone(),
        incarnation: Incarnation(rand::random()),
        peer_address: settings.peer_advertise.unwrap_or(peer_address).to_string().into(),
        http_address: http_address.to_string().into(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        is_leaving: false,
        heartbeat_counter: 0,
        load_permille: 0,
    };
    let transport = match &settings.tls {
        Some(tls) => tls.transport()?,
        None => Transport::Plain,
    };
    let node = build_node(settings, own, metrics);
    let tasks = spawn_tasks(&node, peer_listener);
    let handler = Rc::new(GatewayHandler::new(Rc::clone(&node)));
    let shutdown = node.shutdown.subscribe();
    let server = tokio::task::spawn_local(serve_with(
        http_listener,
        transport,
        ServeOptions::default(),
        handler,
        shutdown,
    ));
    Ok(RunningGateway { node, http_address, peer_address, tasks, server })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|source| GatewayError::Listen { address, source })
}

fn local_address(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

fn build_node(settings: GatewaySettings, own: Member, metrics: GatewayMetrics) -> Rc<Node> {
    let clock = BootClock;
    let platform = HttpStore::new(settings.platform_address.clone());
    let membership = Rc::new(Membership::new(own.clone(), clock));
    let endpoint_clients = Rc::new(EndpointClients::default());
    let suspects = Rc::new(Suspects::new(clock));
    Rc::new_cyclic(|weak| {
        let node_peers = NodePeers::new(weak.clone());
        let witness = Witness { instance: own.instance.clone(), incarnation: own.incarnation };
        let configuration = Configuration::new(
            platform.clone(),
            platform.clone(),
            clock,
            node_peers.clone(),
            witness,
        );
        let leases = LeasesBuilder::new(own.clone(), platform.clone(), node_peers, clock)
            .state_sender(state_sender(weak.clone()))
            .build();
        let allowances = Allowances::new(
            clock,
            NodeDraws::new(weak.clone()),
            own.instance.clone(),
            own.incarnation,
        );
        Node {
            clock,
            peers: Peers::new(Rc::clone(&membership), clock, settings.peer_listen.ip()),
            leases,
            configuration: Rc::new(configuration),
            budgets: Budgets::new(clock, crate::gateway::BUDGET_SHARDS),
            region_budgets: RegionBudgets::new(clock, crate::gateway::BUDGET_SHARDS),
            claims: RequestClaims::new(clock),
            allowances: Rc::new(allowances),
            pools: Rc::new(
                Pools::new(SharedEngines(Rc::clone(&endpoint_clients)), clock)
                    .with_weight_load_limiter(weight_load_limiter(weak.clone())),
            ),
            endpoint_clients,
            suspects,
            running_attempts: LiveAttempts::new(own.instance.clone(), own.incarnation),
            live_claims: LiveClaims::default(),
            free_slots: FreeSlots::default(),
            retry_budget: RetryBudget::default(),
            in_flight: InFlight::default(),
            service_latency: ServiceLatency::default(),
            versions: PeerVersions::default(),
            metrics,
            shutdown: watch::Sender::new(false),
            settings,
            platform,
            membership,
        }
    })
}

/// Lets rebalancing send a shard's state before it moves the lease.
fn state_sender(node: Weak<Node>) -> StateSender {
    Rc::new(move |shard, successor| {
        let node = node.upgrade();
        Box::pin(async move {
            match node {
                Some(node) => send_state(node, shard, successor).await,
                None => false,
            }
        })
    })
}

fn spawn_tasks(node: &Rc<Node>, peer_listener: TcpListener) -> JoinSet<()> {
    let (shards_sender, shards) = watch::channel(Vec::new());
    let mut tasks = JoinSet::new();
    tasks.spawn_local(accept_peers(peer_listener, Rc::clone(node)));
    tasks.spawn_local(poll_instance_list(Rc::clone(node)));
    let peers_node = Rc::clone(node);
    tasks.spawn_local(async move { peers_node.peers.run(Rc::clone(&peers_node)).await });
    tasks.spawn_local(apply_lease_events(Rc::clone(node), node.leases.events()));
    tasks.spawn_local(Rc::clone(&node.leases).run(shards));
    tasks.spawn_local(Rc::clone(&node.configuration).run());
    tasks.spawn_local(bootstrap_configuration(Rc::clone(node)));
    tasks.spawn_local(apply_configuration(Rc::clone(node), shards_sender));
    let pools_node = Rc::clone(node);
    tasks.spawn_local(async move {
        let deadline = |shard: &_| pools_node.leases.held(shard).map(|held| held.deadline);
        pools_node.pools.run(deadline).await;
    });
    tasks.spawn_local(renew_parts(Rc::clone(node)));
    tasks.spawn_local(report_progress(Rc::clone(node)));
    tasks.spawn_local(maintain_claims(Rc::clone(node)));
    tasks.spawn_local(delete_expired(Rc::clone(node)));
    tasks.spawn_local(run_metrics_upkeep(Rc::clone(node)));
    tasks
}

/// Commits the document from the settings if the platform has none. If another instance commits
/// first, its document is used.
async fn bootstrap_configuration(node: Rc<Node>) {
    let Some(file) = &node.settings.first_document_file else { return };
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            log::error!(target: "config", "cannot read {}: {error}", file.display());
            return;
        }
    };
    while node.configuration.current().version == Version(0) {
        if let Err(error) = node.configuration.bootstrap(&text).await {
            log::warn!(target: "config", "first document was not accepted: {error}");
            tokio::time::sleep(BOOTSTRAP_RETRY_DELAY).await;
        }
    }
}

/// Registers this instance in the platform's list and reads the list periodically.
async fn poll_instance_list(node: Rc<Node>) {
    let mut round = 0;
    let mut is_registered = false;
    let mut entries = 0;
    loop {
        if !is_registered {
            is_registered = register(&node, ListedState::Live).await;
        }
        match node.platform.instances().await {
            Ok(listed) => {
                node.membership.merge_instance_list(&listed);
                entries = listed.len();
            }
            Err(error) => log::debug!(target: "peer", "cannot read the instance list: {error}"),
        }
        round += 1;
        let period = if round < STARTUP_ROUNDS {
            LIST_STARTUP_PERIOD
        } else {
            instance_list_period(entries)
        };
        tokio::time::sleep(period).await;
    }
}

/// Interval between reads of a list with this many entries.
pub fn instance_list_period(entries: usize) -> Duration {
    let for_entries = LIST_PERIOD_PER_ENTRY * u32::try_from(entries).unwrap_or(u32::MAX);
    for_entries.clamp(LIST_PERIOD, MAX_LIST_PERIOD)
}

/// Registers this instance in the platform's list. Returns whether this succeeded.
pub(super) async fn register(node: &Node, state: ListedState) -> bool {
    let own = node.membership.local_member();
    let listed = ListedInstance {
        instance: own.instance,
        incarnation: own.incarnation,
        peer_address: own.peer_address,
        http_address: own.http_address,
        zone: own.zone,
        region: own.region,
        state,
    };
    match node.platform.register(&listed).await {
        Ok(()) => true,
        Err(error) => {
            log::debug!(target: "peer", "cannot register in the instance list: {error}");
            false
        }
    }
}

async fn run_metrics_upkeep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(UPKEEP_PERIOD).await;
        node.metrics.upkeep();
    }
}
