use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::{Clock, Instant};
use crate::peer::connection::is_refused;
use crate::peer::link_task::LinkTask;
use crate::peer::{Heartbeat, Member, Membership, PeerClient, PeerError};
use crate::units::{Incarnation, InstanceId};

/// Maximum time that a call waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which neighbours are chosen again.
const NEIGHBOUR_PERIOD: Duration = Duration::from_secs(5);
const NEIGHBOUR_STARTUP_PERIOD: Duration = Duration::from_millis(200);
/// A link to a peer that is not a neighbour is closed after this time without calls. Neighbours
/// change every few seconds, so links that stayed open would become a full mesh.
const UNUSED_LINK_MS: u64 = 30_000;
const STARTUP_ROUNDS: u32 = 25;

/// Provides a connection's task with heartbeats and takes the answers.
pub trait HeartbeatSource: 'static {
    /// Returns the heartbeat to send. The first one on a connection has the full record of this
    /// instance.
    fn next_heartbeat(&self, is_first: bool) -> Heartbeat;

    /// Processes a peer's answer to a heartbeat that was sent at `sent_at`.
    fn receive_heartbeat(&self, answer: &Heartbeat, sent_at: Instant);
}

/// Connections to peers, each kept open by a task of its own.
pub struct Peers<C> {
    clock: C,
    membership: Rc<Membership<C>>,
    source_address: IpAddr,
    links: RefCell<BTreeMap<InstanceId, Link>>,
}

/// Handle of a peer's connection task. Dropping it closes its channel, which ends the task.
struct Link {
    incarnation: Incarnation,
    client: watch::Receiver<Option<PeerClient>>,
    is_neighbour: watch::Sender<bool>,
    /// When a call last used the link.
    used_at: Cell<Option<Instant>>,
    _stop: watch::Sender<()>,
}

impl<C: Clock> Peers<C> {
    /// Connections are opened from `source_address`, so that a peer sees the address that it would
    /// connect to itself.
    pub fn new(membership: Rc<Membership<C>>, clock: C, source_address: IpAddr) -> Peers<C> {
        Peers { clock, membership, source_address, links: RefCell::default() }
    }

    /// The client of a peer, if a connection to it is open.
    pub fn client(&self, instance: &InstanceId) -> Option<PeerClient> {
        self.links.borrow().get(instance)?.client.borrow().clone()
    }

    /// The client of a peer. Opens a connection if there is none.
    pub async fn connect<S: HeartbeatSource>(
        &self,
        instance: &InstanceId,
        source: &Rc<S>,
    ) -> Result<PeerClient, PeerError> {
        if let Some(client) = self.client(instance) {
            self.mark_used(instance);
            return Ok(client);
        }
        let member = self.membership.member(instance).ok_or(PeerError::NotConnected)?;
        let mut client = self.get_or_open_link(&member, source);
        self.mark_used(instance);
        let ready = client.wait_for(Option::is_some);
        match tokio::time::timeout(CONNECT_TIMEOUT, ready).await {
            Ok(Ok(client)) => client.clone().ok_or(PeerError::NotConnected),
            _ => Err(PeerError::NotConnected),
        }
    }

    /// Whether connections to the member's address are refused, so that this incarnation has ended.
    /// A machine that does not respond does not count.
    pub async fn has_ended(&self, member: &Member) -> bool {
        is_refused(&member.peer_address, self.source_address).await
    }

    fn mark_used(&self, instance: &InstanceId) {
        if let Some(link) = self.links.borrow().get(instance) {
            link.used_at.set(Some(self.clock.now()));
        }
    }

    /// Maintains connections to the neighbours of this instance.
    pub async fn run<S: HeartbeatSource>(&self, source: Rc<S>) {
        let mut round = 0;
        loop {
            let neighbours = self.membership.neighbours();
            for member in &neighbours {
                drop(self.get_or_open_link(member, &source));
            }
            self.mark_neighbours(&neighbours);
            self.drop_links_except(&neighbours);
            round += 1;
            let period =
                if round < STARTUP_ROUNDS { NEIGHBOUR_STARTUP_PERIOD } else { NEIGHBOUR_PERIOD };
            tokio::time::sleep(period).await;
        }
    }

    fn get_or_open_link<S: HeartbeatSource>(
        &self,
        member: &Member,
        source: &Rc<S>,
    ) -> watch::Receiver<Option<PeerClient>> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&member.instance)
            && link.incarnation == member.incarnation
        {
            return link.client.clone();
        }
        let (client_sender, client) = watch::channel(None);
        let (stop, stopped) = watch::channel(());
        let (is_neighbour, neighbour) = watch::channel(false);
        let task = LinkTask {
            is_neighbour: neighbour,
            clock: self.clock.clone(),
            address: member.peer_address.to_string(),
            source_address: self.source_address,
            source: Rc::clone(source),
            client: client_sender,
        };
        tokio::task::spawn_local(task.run(stopped));
        let link = Link {
            incarnation: member.incarnation,
            client: client.clone(),
            is_neighbour,
            used_at: Cell::default(),
            _stop: stop,
        };
        links.insert(member.instance.clone(), link);
        client
    }

    fn mark_neighbours(&self, neighbours: &[Member]) {
        for (instance, link) in self.links.borrow().iter() {
            let is_neighbour = neighbours.iter().any(|member| member.instance == *instance);
            link.is_neighbour
                .send_if_modified(|known| std::mem::replace(known, is_neighbour) != is_neighbour);
        }
    }

    /// Keeps recently used links too, since reopening one adds a round trip to a request.
    fn drop_links_except(&self, neighbours: &[Member]) {
        let now = self.clock.now();
        self.links.borrow_mut().retain(|instance, link| {
            neighbours.iter().any(|member| member.instance == *instance)
                || (link.used_at.get().is_some_and(|at| now.ms_since(at) < UNUSED_LINK_MS)
                    && self.membership.member(instance).is_some())
        });
    }
}
