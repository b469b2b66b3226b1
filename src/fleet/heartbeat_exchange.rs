use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

use crate::balance::PeerLoad;
use crate::clock::{Clock, Instant};
use crate::fleet::{
    DatagramSocket, FailureDetector, Members, PeerUpdate, Probe, ProbeKind, Rumour, Status,
    StatusTimer, ZoneLoads,
};

/// Longest time between two checks whether a status to all peers has become urgent.
const MAX_TIMER_STEP_MS: u64 = 30;
/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Interval between two statuses with loads to the same collector, and between two reports of a
/// zone's loads to the same instance. A load is at most as old as both together.
const COLLECTION_INTERVAL_MS: u64 = 120;
const ZONE_REPORT_INTERVAL_MS: u64 = 150;
/// Interval between two probes of an instance. Each instance is probed by some other soon.
const PROBE_INTERVAL_MS: u64 = 100;
/// Time until a probed instance has answered, and the attempts, all but the first also through
/// others.
const ANSWER_TIMEOUT_MS: u64 = 150;
const PROBE_ATTEMPTS: u32 = 4;
/// Peers that a rumour is passed on to at once.
const RUMOUR_PEERS: usize = 4;
/// A pause that took this much longer than intended: the instance itself was suspended and cannot
/// tell whether others have answered.
const SUSPENDED_MS: u64 = 100;
/// Time without any datagram after which an instance draws no conclusion from missing answers.
const ISOLATED_MS: u64 = 300;
/// Interval between checks for news, and the peers that are told at once. Those tell as many again
/// when they have taken it over.
const NEWS_CHECK_MS: u64 = 50;
const NEWS_PEERS: usize = 6;

/// Provides the status of this instance and consumes those of its peers.
pub trait StatusHandler: 'static {
    /// The status of this instance. The exchange fills in `run`, `sequence`, `age_ms` and `known`.
    fn status(&self) -> Status;

    /// Called for every status that is newer than the sender's previous one.
    fn status_received(&self, from: Ipv4Addr, status: Status, update: PeerUpdate);

    /// The availability zone of this instance.
    fn zone(&self) -> SmolStr;

    /// Loads of all instances of this zone that this one collects, without those of `except`.
    fn zone_loads(&self, except: Option<Ipv4Addr>) -> Vec<PeerLoad>;

    /// Called for every report of a zone.
    fn zone_loads_received(&self, report: ZoneLoads);

    /// Changes whenever the status contains something that all peers must learn soon.
    fn news(&self) -> u64;

    /// Whether statuses are sent at a shorter interval because a shared limit is nearly exhausted.
    fn is_urgent(&self) -> bool;

    /// Called when no status of a live peer has arrived within the failure timeout, or when it has
    /// not answered probes.
    fn peer_lost(&self, peer: Ipv4Addr);
}

/// Sends this instance's status to all known instances over UDP and receives theirs. Probes
/// instances to find those that are lost.
pub struct HeartbeatExchange<C, S = UdpSocket> {
    socket: S,
    port: u16,
    run: u64,
    sequence: Cell<u64>,
    started_at: Instant,
    members: Rc<RefCell<Members>>,
    detector: RefCell<FailureDetector>,
    /// Probes that wait for an answer, by nonce.
    awaited: RefCell<HashMap<u64, Rc<Notify>>>,
    /// Indirect probes that this instance makes for others: the asking instance and its nonce, by
    /// the nonce of the probe.
    relayed: RefCell<HashMap<u64, RelayedProbe>>,
    /// Arrival time of the newest datagram of any instance.
    last_received_at: Cell<Instant>,
    clock: C,
}

/// An indirect probe that an instance makes for another one.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    asked_by: Ipv4Addr,
    nonce: u64,
    expires_at: Instant,
}

impl<C: Clock> HeartbeatExchange<C> {
    /// Binds the UDP port, which is the same on all instances.
    pub async fn bind(
        address: SocketAddr,
        members: Rc<RefCell<Members>>,
        clock: C,
    ) -> io::Result<HeartbeatExchange<C>> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(HeartbeatExchange::with_socket(socket, address, members, clock))
    }
}

impl<C: Clock, S: DatagramSocket> HeartbeatExchange<C, S> {
    /// Uses a socket that is bound to `address`.
    pub fn with_socket(
        socket: S,
        address: SocketAddr,
        members: Rc<RefCell<Members>>,
        clock: C,
    ) -> HeartbeatExchange<C, S> {
        let run = rand::random();
        let own_address = members.borrow().own_address();
        HeartbeatExchange {
            socket,
            port: address.port(),
            run,
            sequence: Cell::new(0),
            started_at: clock.now(),
            members,
            detector: RefCell::new(FailureDetector::new(own_address, run)),
            awaited: RefCell::default(),
            relayed: RefCell::default(),
            last_received_at: Cell::default(),
            clock,
        }
    }

    /// The bound UDP port.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Sends and receives datagrams until the future is dropped.
    pub async fn run<H: StatusHandler>(&self, handler: &H) {
        tokio::join!(
            self.send_periodically(handler),
            self.send_to_collectors(handler),
            self.report_zone_loads(handler),
            self.send_news(handler),
            self.receive_datagrams(handler),
            self.probe_periodically(handler),
        );
    }

    async fn send_periodically<H: StatusHandler>(&self, handler: &H) {
        let mut timer = StatusTimer::new(Instant::default());
        loop {
            let interval_ms = self.members.borrow().interval_ms();
            let (is_urgent, now) = (handler.is_urgent(), self.clock.now());
            if !timer.take_due(interval_ms, is_urgent, now) {
                let remaining_ms = timer.remaining_ms(interval_ms, is_urgent, now);
                tokio::time::sleep(Duration::from_millis(remaining_ms.min(MAX_TIMER_STEP_MS)))
                    .await;
                continue;
            }
            if self.members.borrow().is_divided_by_zone() {
                let collectors = self.other_collectors(&handler.zone());
                let mut others = self.members.borrow().addresses();
                others.retain(|address| !collectors.contains(address));
                self.send_status(Status { loads: Vec::new(), ..handler.status() }, &others).await;
            } else {
                self.send_round(handler).await;
            }
            let lost = self.members.borrow_mut().expire(self.clock.now());
            lost.into_iter().for_each(|peer| handler.peer_lost(peer));
        }
    }

    /// Sends statuses with the loads of this instance to the collectors of its zone, in a large
    /// fleet.
    async fn send_to_collectors<H: StatusHandler>(&self, handler: &H) {
        let zone = handler.zone();
        loop {
            if self.members.borrow().is_divided_by_zone() {
                let collectors = self.other_collectors(&zone);
                self.send_status(handler.status(), &collectors).await;
            }
            tokio::time::sleep(Duration::from_millis(COLLECTION_INTERVAL_MS)).await;
        }
    }

    /// The other collectors of this instance's zone.
    fn other_collectors(&self, zone: &str) -> Vec<Ipv4Addr> {
        let members = self.members.borrow();
        let mut collectors = members.collectors(zone, self.clock.now());
        collectors.retain(|address| *address != members.own_address());
        collectors
    }

    /// Reports the loads of this zone, in a large fleet, if this instance collects them.
    async fn report_zone_loads<H: StatusHandler>(&self, handler: &H) {
        let zone = handler.zone();
        loop {
            tokio::time::sleep(Duration::from_millis(ZONE_REPORT_INTERVAL_MS)).await;
            if !self.members.borrow().is_divided_by_zone() {
                continue;
            }
            let receivers = self.members.borrow().report_receivers(&zone, self.clock.now());
            if !receivers.outside.is_empty() {
                self.send_report(&zone, handler.zone_loads(None), &receivers.outside).await;
            }
            for receiver in receivers.inside {
                let loads = handler.zone_loads(Some(receiver));
                self.send_report(&zone, loads, &[receiver]).await;
            }
        }
    }

    async fn send_report(&self, zone: &SmolStr, loads: Vec<PeerLoad>, receivers: &[Ipv4Addr]) {
        match (ZoneLoads { zone: zone.clone(), loads }).encode() {
            Ok(bytes) => {
                for receiver in receivers {
                    self.send_bytes(&bytes, *receiver).await;
                }
            }
            Err(error) => log::error!(target: "fleet", "failed to encode loads: {error}"),
        }
    }

    /// Sends the current status once to every known instance.
    pub async fn send_round<H: StatusHandler>(&self, handler: &H) {
        let addresses = self.members.borrow().addresses();
        self.send_status(handler.status(), &addresses).await;
    }

    /// Sends the status to a few peers as soon as it contains news.
    async fn send_news<H: StatusHandler>(&self, handler: &H) {
        let mut told = handler.news();
        loop {
            tokio::time::sleep(Duration::from_millis(NEWS_CHECK_MS)).await;
            let news = handler.news();
            if news != told {
                told = news;
                let peers = self.members.borrow().random_live(NEWS_PEERS);
                self.send_status(handler.status(), &peers).await;
            }
        }
    }

    async fn send_status(&self, mut status: Status, addresses: &[Ipv4Addr]) {
        self.sequence.set(self.sequence.get() + 1);
        status.run = self.run;
        status.sequence = self.sequence.get();
        status.age_ms = self.clock.now().ms_since(self.started_at);
        status.known = self.members.borrow().sample_live();
        match status.encode() {
            Ok(bytes) => {
                for address in addresses {
                    self.send_bytes(&bytes, *address).await;
                }
            }
            Err(error) => log::error!(target: "fleet", "failed to encode status: {error}"),
        }
    }

    async fn send_bytes(&self, bytes: &[u8], address: Ipv4Addr) {
        let to = SocketAddr::new(IpAddr::V4(address), self.port);
        if let Err(error) = self.socket.send_to(bytes, to).await {
            log::debug!(target: "fleet", "failed to send datagram to {to}: {error}");
        }
    }

    async fn send_probe(&self, kind: ProbeKind, nonce: u64, address: Ipv4Addr) {
        let rumours = self.detector.borrow_mut().take_rumours(self.clock.now());
        match (Probe { kind, nonce, rumours }).encode() {
            Ok(bytes) => self.send_bytes(&bytes, address).await,
            Err(error) => log::error!(target: "fleet", "failed to encode probe: {error}"),
        }
    }

    /// Begins one probe after the other; each takes its time.
    async fn probe_periodically<H: StatusHandler>(&self, handler: &H) {
        let mut ticks = tokio::time::interval(Duration::from_millis(PROBE_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut probes = FuturesUnordered::new();
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let now = self.clock.now();
                    self.relayed.borrow_mut().retain(|_, relayed| now < relayed.expires_at);
                    let target = self.detector.borrow_mut().next_target(&self.members.borrow());
                    probes.extend(target.map(|target| self.probe(target)));
                }
                Some(lost) = probes.next() => {
                    if let Some(lost) = lost {
                        self.declare_lost(lost, handler).await;
                    }
                }
            }
        }
    }

    /// Probes an instance directly and through others, for longer than a few datagrams are lost in a
    /// row. Returns it if it is lost.
    async fn probe(&self, target: Ipv4Addr) -> Option<Ipv4Addr> {
        let started_at = self.clock.now();
        let nonce = rand::random();
        let answered = Rc::new(Notify::new());
        self.awaited.borrow_mut().insert(nonce, Rc::clone(&answered));
        let mut is_missing = true;
        for attempt in 0..PROBE_ATTEMPTS {
            self.send_probe(ProbeKind::Ping, nonce, target).await;
            if attempt > 0 {
                let helpers = self.detector.borrow().helpers(target, &self.members.borrow());
                for helper in helpers {
                    self.send_probe(ProbeKind::IndirectPing { target }, nonce, helper).await;
                }
            }
            is_missing = self.is_answer_missing(&answered).await;
            if !is_missing {
                break;
            }
        }
        self.awaited.borrow_mut().remove(&nonce);
        let now = self.clock.now();
        let was_heard =
            self.members.borrow().was_heard_within(target, now.ms_since(started_at), now);
        (is_missing && !was_heard && !self.is_isolated(now)).then_some(target)
    }

    /// Whether no datagram of any instance has arrived lately, so that this instance is more likely to
    /// be cut off than all others to be lost.
    fn is_isolated(&self, now: Instant) -> bool {
        now.ms_since(self.last_received_at.get()) > ISOLATED_MS
    }

    /// Waits for the answer to a probe. Returns whether none arrived although this instance has run
    /// all the time.
    async fn is_answer_missing(&self, answered: &Notify) -> bool {
        let started_at = self.clock.now();
        let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
        if tokio::time::timeout(limit, answered.notified()).await.is_ok() {
            return false;
        }
        let was_suspended =
            self.clock.now().ms_since(started_at) > ANSWER_TIMEOUT_MS + SUSPENDED_MS;
        !was_suspended
    }

    async fn declare_lost<H: StatusHandler>(&self, peer: Ipv4Addr, handler: &H) {
        let now = self.clock.now();
        if self.detector.borrow_mut().declare_lost(peer, &self.members.borrow(), now) {
            self.remove_lost(&[peer], handler);
            self.spread_rumours().await;
        }
    }

    /// Passes rumours on at once.
    async fn spread_rumours(&self) {
        let peers = self.members.borrow().random_live(RUMOUR_PEERS);
        for peer in peers {
            self.send_probe(ProbeKind::Ping, 0, peer).await;
        }
    }

    fn remove_lost<H: StatusHandler>(&self, lost: &[Ipv4Addr], handler: &H) {
        for peer in lost {
            if self.members.borrow_mut().mark_lost(*peer) {
                handler.peer_lost(*peer);
            }
        }
    }

    async fn receive_datagrams<H: StatusHandler>(&self, handler: &H) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // ICMP errors for datagrams sent earlier are reported here.
                    log::debug!(target: "fleet", "failed to receive datagram: {error}");
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            };
            let IpAddr::V4(from) = from.ip() else { continue };
            self.last_received_at.set(self.clock.now());
            let bytes = &buffer[..length];
            let decoded = if let Some(probe) = Probe::decode(bytes) {
                match probe {
                    Ok(probe) => {
                        self.receive_probe(from, &probe, handler).await;
                        Ok(())
                    }
                    Err(error) => Err(error),
                }
            } else if let Some(report) = ZoneLoads::decode(bytes) {
                report.map(|report| handler.zone_loads_received(report))
            } else {
                self.receive_status(from, bytes, handler).await
            };
            if let Err(error) = decoded {
                log::debug!(target: "fleet", "malformed datagram from {from}: {error}");
            }
        }
    }

    async fn receive_status<H: StatusHandler>(
        &self,
        from: Ipv4Addr,
        bytes: &[u8],
        handler: &H,
    ) -> Result<(), postcard::Error> {
        let status = Status::decode(bytes)?;
        let now = self.clock.now();
        let update = self.members.borrow_mut().receive(from, &status, now);
        if let Some(update) = update {
            handler.status_received(from, status, update);
            // The sender may not know this instance either, and would wait for the next round.
            if update.is_new {
                self.introduce(from, handler).await;
            }
        }
        Ok(())
    }

    /// Sends the status to an instance that has just become known.
    async fn introduce<H: StatusHandler>(&self, peer: Ipv4Addr, handler: &H) {
        let mut status = handler.status();
        if self.members.borrow().is_divided_by_zone() {
            status.loads.clear();
        }
        self.send_status(status, &[peer]).await;
    }

    async fn receive_probe<H: StatusHandler>(&self, from: Ipv4Addr, probe: &Probe, handler: &H) {
        let now = self.clock.now();
        self.members.borrow_mut().record_heard(from, now);
        self.apply_rumours(&probe.rumours, handler).await;
        self.detector.borrow_mut().accuse(from, &self.members.borrow(), now);
        match probe.kind {
            ProbeKind::Ping => {
                let subject = self.members.borrow().own_address();
                self.send_probe(ProbeKind::Ack { subject }, probe.nonce, from).await;
            }
            ProbeKind::IndirectPing { target } => {
                let nonce = rand::random();
                let expires_at = now.plus_ms(ANSWER_TIMEOUT_MS * u64::from(PROBE_ATTEMPTS));
                let relayed = RelayedProbe { asked_by: from, nonce: probe.nonce, expires_at };
                self.relayed.borrow_mut().insert(nonce, relayed);
                self.send_probe(ProbeKind::Ping, nonce, target).await;
            }
            ProbeKind::Ack { subject } => {
                if let Some(answered) = self.awaited.borrow().get(&probe.nonce) {
                    answered.notify_one();
                }
                let relayed = self.relayed.borrow_mut().remove(&probe.nonce);
                if let Some(relayed) = relayed {
                    let kind = ProbeKind::Ack { subject };
                    self.send_probe(kind, relayed.nonce, relayed.asked_by).await;
                }
            }
        }
    }

    async fn apply_rumours<H: StatusHandler>(&self, rumours: &[Rumour], handler: &H) {
        if rumours.is_empty() {
            return;
        }
        let now = self.clock.now();
        let effects = self.detector.borrow_mut().apply(rumours, &self.members.borrow(), now);
        for peer in &effects.revived {
            self.members.borrow_mut().revive(*peer);
        }
        self.remove_lost(&effects.lost, handler);
        if effects.is_any() {
            self.spread_rumours().await;
        }
    }
}
