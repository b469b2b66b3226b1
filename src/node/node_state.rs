use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};

use crate::balance::{Balancer, PeerLoad};
use crate::catalog::Catalog;
use crate::clock::{Clock, Instant};
use crate::crashes::{CrashReports, CrashingParts};
use crate::fleet::{
    Members, Notices, PeerUpdate, Status, StatusExtension, StatusHandler, ZoneLoads,
};
use crate::forward::{
    ConnectionPool, CrashCounts, EndpointClient, EndpointClientParts, Forwarder, ForwarderParts,
};
use crate::hash::stable_hash;
use crate::http::{AccountLimits, MemoryAccount};
use crate::node::rollout_orders::log_step;
use crate::node::{NodeSettings, PlatformAdapter};
use crate::quota::Quotas;
use crate::replica::{Follower, RowChange, Topic};
use crate::rollout::{RolloutReport, Rollouts};
use crate::units::ServiceId;

type ChangeFeed = mpsc::UnboundedReceiver<(Topic, Vec<RowChange>)>;

/// Shared state and components of a running instance.
pub struct NodeState<A: PlatformAdapter, C: Clock> {
    pub settings: NodeSettings,
    /// Account of the memory that is held for clients of all listeners.
    pub client_memory: MemoryAccount,
    pub clock: C,
    pub store: Rc<A::Store>,
    pub catalog: Rc<Catalog<A::Decoder, C>>,
    pub balancer: Rc<RefCell<Balancer>>,
    pub quotas: Rc<RefCell<Quotas>>,
    pub crashes: Rc<RefCell<CrashCounts>>,
    pub crashing_parts: Rc<RefCell<CrashingParts>>,
    pub endpoints: Rc<EndpointClient<A::Codec, C>>,
    pub members: Rc<RefCell<Members>>,
    pub rollouts: Rc<RefCell<Rollouts>>,
    pub forwarder: Rc<Forwarder<A::Codec, A::Decoder, C>>,
    /// Followers of the store's tables, by `Topic::index`.
    pub followers: [Rc<Follower<A::Store, C>>; 2],
    /// Whether the instance is shutting down.
    pub is_leaving: Cell<bool>,
    /// Whether the instance collects the loads of its zone.
    pub is_collector: Cell<bool>,
    /// Notified when the grace time ends and the requests in flight get their last answer.
    pub grace_ended: Notify,
    /// Number of callers' requests in flight.
    pub in_flight: Cell<u32>,
    pub last_request_at: Cell<Instant>,
}

impl<A: PlatformAdapter, C: Clock> NodeState<A, C> {
    pub fn new(adapter: &A, settings: NodeSettings, clock: C) -> (Rc<NodeState<A, C>>, ChangeFeed) {
        let now = clock.now();
        let machine = settings.machine;
        let limits = AccountLimits::for_machine(machine.memory_mb, machine.max_descriptors);
        let client_memory = MemoryAccount::new(limits);
        let (sender, changes) = mpsc::unbounded_channel();
        let store = Rc::new(adapter.store());
        let catalog = Rc::new(Catalog::new(adapter.decoder(), clock.clone()));
        let mut balancer = Balancer::new(settings.zone.clone());
        // No service is named until a configuration is known.
        balancer.set_named_services(HashSet::new());
        let balancer = Rc::new(RefCell::new(balancer));
        let rate_window_ms = (settings.rate_window_s * 1000.0) as u64;
        let quotas = Quotas::new(rate_window_ms, !settings.is_first_start);
        let quotas = Rc::new(RefCell::new(quotas));
        let crashes = Rc::new(RefCell::new(CrashCounts::default()));
        let crashing_parts = Rc::new(RefCell::new(CrashingParts::default()));
        let endpoints = Rc::new(EndpointClient::new(EndpointClientParts {
            codec: adapter.codec(),
            balancer: Rc::clone(&balancer),
            connections: ConnectionPool::new(clock.clone()),
            clock: clock.clone(),
        }));
        let mut members = Members::new(settings.address, now);
        for seed in &settings.seeds {
            members.add(*seed.ip());
        }
        let retry_limits = settings.retry.limits();
        let extra_retries_from =
            if settings.is_first_start { now } else { now.plus_ms(retry_limits.window_ms) };
        let rollouts = Rollouts::new(settings.rollout_settings());
        let rollouts = Rc::new(RefCell::new(rollouts));
        let forwarder = Forwarder::new(ForwarderParts {
            catalog: Rc::clone(&catalog),
            balancer: Rc::clone(&balancer),
            quotas: Rc::clone(&quotas),
            crashes: Rc::clone(&crashes),
            crashing_parts: Rc::clone(&crashing_parts),
            endpoints: Rc::clone(&endpoints),
            rollouts: Rc::clone(&rollouts),
            retry_limits,
            extra_retries_from,
            clock: clock.clone(),
        });
        let members = Rc::new(RefCell::new(members));
        let followers = Topic::ALL.map(|topic| {
            let (store, members) = (Rc::clone(&store), Rc::clone(&members));
            Rc::new(Follower::new(topic, store, members, clock.clone(), sender.clone()))
        });
        let state = NodeState {
            settings,
            client_memory,
            clock,
            store,
            catalog,
            balancer,
            quotas,
            crashes,
            crashing_parts,
            endpoints,
            members,
            rollouts,
            forwarder,
            followers,
            is_leaving: Cell::new(false),
            is_collector: Cell::new(false),
            grace_ended: Notify::new(),
            in_flight: Cell::new(0),
            last_request_at: Cell::new(now),
        };
        (Rc::new(state), changes)
    }

    /// Whether this instance accepts callers' requests: it is not shutting down and has read
    /// the configuration and the endpoints.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving.get() && self.catalog.is_complete()
    }

    /// Whether no read of the store's tables has failed recently.
    pub fn is_store_steady(&self) -> bool {
        self.followers.iter().all(|follower| follower.is_steady())
    }

    fn rollout_reports(&self, now: Instant) -> Vec<RolloutReport> {
        let balancer = self.balancer.borrow();
        let old_requests = |service: &ServiceId, version: &SmolStr| {
            balancer.local_requests_except(service, version)
        };
        self.rollouts.borrow().reports(old_requests, now)
    }

    fn notices(&self, now: Instant) -> Notices {
        let balancer = self.balancer.borrow();
        Notices {
            leaving: balancer.reported_leaving(now),
            rejections: balancer.local_rejections(now),
        }
    }

    pub fn follower(&self, topic: Topic) -> &Rc<Follower<A::Store, C>> {
        &self.followers[topic.index()]
    }

    /// Takes over or ends the collection of the loads of this instance's zone. A collector counts the
    /// loads that the instances of its zone send it, any other instance those that are reported.
    pub fn update_collector(&self, now: Instant) {
        let zone = self.settings.zone.as_str();
        let is_collector = self.members.borrow().is_collector(zone, now);
        self.is_collector.set(is_collector);
        if is_collector {
            self.balancer.borrow_mut().forget_zone_loads(zone.into(), now);
        }
    }

    /// Addresses of the instances that accept callers' requests. All use the same port.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let port = self.settings.caller_address.port();
        let members = self.members.borrow();
        let ready = members.live().filter(|(_, member)| member.is_ready && !member.is_leaving);
        let mut addresses: Vec<SocketAddr> =
            ready.map(|(address, _)| SocketAddr::new(IpAddr::V4(*address), port)).collect();
        if self.is_ready() {
            addresses.push(self.settings.caller_address);
        }
        addresses
    }
}

impl<A: PlatformAdapter, C: Clock> StatusHandler for NodeState<A, C> {
    fn status(&self) -> Status {
        let now = self.clock.now();
        Status {
            run: 0,
            sequence: 0,
            age_ms: 0,
            zone: self.settings.zone.as_str().into(),
            is_ready: self.is_ready(),
            is_leaving: self.is_leaving.get(),
            is_store_steady: self.is_store_steady(),
            versions: [0, 1].map(|index: usize| self.followers[index].content_version()),
            loads: self.balancer.borrow().local_loads(now),
            spent: self.quotas.borrow().local_spent(),
            crashes: self.crashes.borrow().recent_counts(),
            known: Vec::new(),
            notices: self.notices(now),
            crash_reports: CrashReports {
                parts: self.crashing_parts.borrow().reports(now),
                requests: self.crashes.borrow().reports(now),
            },
            extension: StatusExtension {
                waiting: self.forwarder.demand_reports(now),
                rollouts: self.rollout_reports(now),
            },
        }
    }

    fn status_received(&self, from: Ipv4Addr, status: Status, update: PeerUpdate) {
        let now = self.clock.now();
        if update.is_new {
            log::info!(target: "fleet", peer = from.to_string().as_str(),
                zone = status.zone.as_str(), age_ms = status.age_ms; "peer up");
        }
        let mut balancer = self.balancer.borrow_mut();
        if update.is_new_run {
            balancer.report_leaving_again(now);
        }
        // A collector counts the loads that each instance of its zone sends.
        let is_counted_by_zone = balancer.is_zone_reported(&status.zone);
        let loads = if is_counted_by_zone { Vec::new() } else { status.loads };
        balancer.set_peer_loads(IpAddr::V4(from), loads, now);
        balancer.record_peer_rejections(&status.notices.rejections, now);
        for endpoint in balancer.record_peer_leaving(&status.notices.leaving, now) {
            log::info!(target: "balance", endpoint = endpoint.id.as_str(),
                peer = from.to_string().as_str(); "endpoint leaving: announced to a peer");
            self.endpoints.close_idle(endpoint.address);
        }
        drop(balancer);
        self.quotas.borrow_mut().record_peer_report(
            (IpAddr::V4(from), status.run),
            &status.spent,
            update.is_new_run,
            now,
        );
        self.forwarder.record_peer_demand(IpAddr::V4(from), status.extension.waiting, now);
        let sender = (IpAddr::V4(from), status.run);
        let mut rollouts = self.rollouts.borrow_mut();
        for service in rollouts.apply_reports(sender, &status.extension.rollouts, now) {
            if let Some(state) = rollouts.rollout(&service).and_then(|one| one.state.as_ref()) {
                log_step(&service, state, None);
            }
        }
        drop(rollouts);
        let mut crashes = self.crashes.borrow_mut();
        if status.crash_reports.requests.is_empty() {
            crashes.merge_counts(&status.crashes, now);
        } else {
            crashes.merge(&status.crash_reports.requests, now);
        }
        self.crashing_parts.borrow_mut().merge(&status.crash_reports.parts, now);
    }

    fn zone(&self) -> SmolStr {
        self.settings.zone.as_str().into()
    }

    fn zone_loads(&self, except: Option<Ipv4Addr>) -> Vec<PeerLoad> {
        let members = self.members.borrow();
        let peers = members.live_in_zone(self.settings.zone.as_str());
        let peers = peers.filter(|peer| Some(*peer) != except).map(IpAddr::V4);
        self.balancer.borrow().zone_loads(peers, self.clock.now())
    }

    fn zone_loads_received(&self, report: ZoneLoads) {
        let now = self.clock.now();
        let mut balancer = self.balancer.borrow_mut();
        if report.zone == self.settings.zone.as_str() {
            if self.is_collector.get() {
                return;
            }
            let members = self.members.borrow();
            let peers = members.live_in_zone(&report.zone).map(IpAddr::V4);
            balancer.forget_peer_loads(peers, now);
        }
        balancer.set_zone_loads(report.zone, report.loads, now);
    }

    fn news(&self) -> u64 {
        let versions = [0, 1].map(|index: usize| self.followers[index].content_version());
        let counts = self.crashes.borrow().recent_counts();
        let crashes: u64 = counts.iter().map(|count| u64::from(count.crashes)).sum();
        stable_hash(&format!(
            "{versions:?} {} {} {crashes} {} {} {}",
            self.is_ready(),
            self.is_leaving.get(),
            self.balancer.borrow().leaving_count(),
            self.crashing_parts.borrow().revision(),
            self.rollouts.borrow().known_steps()
        ))
    }

    fn is_urgent(&self) -> bool {
        self.quotas.borrow_mut().is_any_near_limit(self.clock.now())
    }

    fn peer_lost(&self, peer: Ipv4Addr) {
        log::info!(target: "fleet", peer = peer.to_string().as_str(),
            live = self.members.borrow().live_count(); "peer lost");
        self.balancer.borrow_mut().remove_peer(IpAddr::V4(peer), self.clock.now());
        self.quotas.borrow_mut().remove_peer(IpAddr::V4(peer));
        self.forwarder.remove_peer_demand(IpAddr::V4(peer));
    }
}
