//! Startup, background tasks and signal handling of an instance.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::rc::Rc;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder};
use smol_str::ToSmolStr;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinError, JoinSet, LocalSet};

use crate::clock::{BootClock, Clock};
use crate::fleet::HeartbeatExchange;
use crate::http::{Handler, MemoryAccount, ServeOptions, Transport, serve_with};
use crate::node::drain::drain;
use crate::node::node_handler::{CallerHandler, MetricsHandler, PeerHandler};
use crate::node::peer_replicas::PeerReplicas;
use crate::node::role_orders::coordinate_roles;
use crate::node::rollout_orders::coordinate_rollouts;
use crate::node::tasks::{apply_changes, run_discovery, run_maintenance};
use crate::node::{NodeError, NodeSettings, NodeState, PlatformAdapter};
use crate::replica::{PeerPull, RowChange, Topic};
use crate::settings::load_settings;

/// Upper bounds of the buckets of latency histograms.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3.0, 5.0, 8.0, 14.0];
/// Callers' idle connections are kept open this much longer than the configured limit, which
/// callers stay below.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 2_000;

/// Runs an instance until SIGTERM or SIGINT, then drains it.
pub fn run_node<A: PlatformAdapter>(
    adapter: A,
    settings: NodeSettings,
    settings_file: &Path,
) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(NodeError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(adapter, settings, settings_file))
}

async fn run<A: PlatformAdapter>(
    adapter: A,
    settings: NodeSettings,
    settings_file: &Path,
) -> Result<(), NodeError> {
    let metrics = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &LATENCY_BUCKETS_S)?
        .install_recorder()?;
    let clock = BootClock;
    log::info!(target: "node", instance = settings.instance.as_str(),
        zone = settings.zone.as_str(), first_start = settings.is_first_start; "starting");
    let (node, changes) = NodeState::new(&adapter, settings, clock);
    let (shutdown, shutdown_receiver) = watch::channel(false);
    let mut listeners = JoinSet::new();
    let settings = &node.settings;
    let client_memory = &node.client_memory;
    let caller_handler = Rc::new(CallerHandler(Rc::clone(&node)));
    let metrics_address = SocketAddr::new(IpAddr::V4(settings.address), settings.metrics_port);
    listen(
        &mut listeners,
        settings.caller_address,
        caller_handler,
        client_memory,
        &shutdown_receiver,
    )
    .await?;
    // These listeners run until the process exits, so that a draining instance still answers.
    let (_never_shutdown_sender, never_shutdown) = watch::channel(false);
    let mut persistent = JoinSet::new();
    let lookup = Rc::new(adapter.lookup(&node));
    listen(&mut persistent, settings.lookup_address, lookup, client_memory, &never_shutdown)
        .await?;
    listen(
        &mut persistent,
        settings.ready_address,
        Rc::new(adapter.ready(&node)),
        client_memory,
        &never_shutdown,
    )
    .await?;
    let peer_handler = Rc::new(PeerHandler(Rc::clone(&node)));
    listen(&mut persistent, settings.peer_address, peer_handler, client_memory, &never_shutdown)
        .await?;
    listen(
        &mut persistent,
        metrics_address,
        Rc::new(MetricsHandler(metrics)),
        client_memory,
        &never_shutdown,
    )
    .await?;
    let status_address = SocketAddr::new(IpAddr::V4(settings.address), settings.status_port);
    let exchange = HeartbeatExchange::bind(status_address, Rc::clone(&node.members), clock)
        .await
        .map_err(|source| NodeError::Listen { address: status_address, source })?;
    let exchange = Rc::new(exchange);
    let mut tasks = spawn_tasks(&node, &exchange, changes);
    tokio::select! {
        stop = wait_for_shutdown_signal(&node, settings_file) => stop.map_err(NodeError::Runtime)?,
        ended = tasks.join_next() => return Err(task_ended(ended)),
    }
    let ended = async { while listeners.join_next().await.is_some() {} };
    drain(&node, &exchange, shutdown, ended).await;
    Ok(())
}

async fn listen<H: Handler>(
    listeners: &mut JoinSet<()>,
    address: SocketAddr,
    handler: Rc<H>,
    client_memory: &MemoryAccount,
    shutdown_receiver: &watch::Receiver<bool>,
) -> Result<(), NodeError> {
    let listener =
        TcpListener::bind(address).await.map_err(|source| NodeError::Listen { address, source })?;
    let limits = crate::catalog::RequestLimits::default();
    let idle_timeout_ms = limits.connection_idle_timeout_ms + IDLE_TIMEOUT_MARGIN_MS;
    let options = ServeOptions::http1(idle_timeout_ms).with_account(client_memory.clone());
    listeners.spawn_local(serve_with(
        listener,
        Transport::Plain,
        options,
        handler,
        shutdown_receiver.clone(),
    ));
    Ok(())
}

/// Spawns the background tasks. If one ends, which only a fault can cause, the process exits and
/// the platform restarts it: an instance that no longer follows its peers or the store would serve
/// from outdated state.
fn spawn_tasks<A: PlatformAdapter, C: Clock>(
    node: &Rc<NodeState<A, C>>,
    exchange: &Rc<HeartbeatExchange<C>>,
    changes: mpsc::UnboundedReceiver<(Topic, Vec<RowChange>)>,
) -> JoinSet<&'static str> {
    let mut tasks = JoinSet::new();
    for follower in &node.followers {
        let follower = Rc::clone(follower);
        tasks.spawn_local(async move {
            follower.run().await;
            "replica"
        });
    }
    let state = Rc::clone(node);
    tasks.spawn_local(async move {
        apply_changes(state, changes).await;
        "changes"
    });
    let state = Rc::clone(node);
    tasks.spawn_local(async move {
        run_maintenance(state).await;
        "upkeep"
    });
    let state = Rc::clone(node);
    tasks.spawn_local(async move {
        run_discovery(state).await;
        "discovery"
    });
    let peers = Rc::new(PeerReplicas::new(node.settings.peer_address.port()));
    for topic in Topic::ALL {
        let follower = Rc::clone(node.follower(topic));
        let members = Rc::clone(&node.members);
        let pull = PeerPull::new(topic, Rc::clone(&peers), follower, members, node.clock.clone());
        tasks.spawn_local(async move {
            pull.run().await;
            "pull"
        });
    }
    let state = Rc::clone(node);
    tasks.spawn_local(async move {
        coordinate_roles(state).await;
        "role orders"
    });
    let state = Rc::clone(node);
    tasks.spawn_local(async move {
        coordinate_rollouts(state).await;
        "roll-outs"
    });
    let (node, exchange) = (Rc::clone(node), Rc::clone(exchange));
    tasks.spawn_local(async move {
        exchange.run(node.as_ref()).await;
        "exchange"
    });
    tasks
}

fn task_ended(ended: Option<Result<&'static str, JoinError>>) -> NodeError {
    let task = match ended {
        Some(Ok(name)) => name.into(),
        Some(Err(error)) => error.to_smolstr(),
        None => "all".into(),
    };
    NodeError::TaskEnded { task }
}

/// Returns on SIGTERM or SIGINT. SIGHUP reloads the settings.
async fn wait_for_shutdown_signal<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    settings_file: &Path,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload_settings(node, settings_file),
        }
    }
}

/// Reads and validates the settings file. New seeds are added at once; other changes take effect at
/// the next start.
fn reload_settings<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>, settings_file: &Path) {
    match load_settings::<NodeSettings>(settings_file) {
        Ok(settings) => {
            let is_changed = settings != node.settings;
            log::info!(target: "node", changed = is_changed; "settings reloaded");
            let mut members = node.members.borrow_mut();
            settings.seeds.iter().for_each(|seed| members.add(*seed.ip()));
        }
        Err(error) => log::warn!(target: "node", error = error.to_string().as_str();
            "failed to reload settings"),
    }
}
