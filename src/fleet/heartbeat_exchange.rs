use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::clock::Clock;
use crate::fleet::{Members, PeerUpdate, Status};

/// Divisor of the send interval while a shared limit is nearly exhausted.
const URGENT_INTERVAL_DIVISOR: u64 = 4;
/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Provides the status of this instance and consumes those of its peers.
pub trait StatusHandler: 'static {
    /// The status of this instance. The exchange fills in `run`, `sequence`, `age_ms` and `known`.
    fn status(&self) -> Status;

    /// Called for every status that is newer than the sender's previous one.
    fn status_received(&self, from: Ipv4Addr, status: Status, update: PeerUpdate);

    /// Whether statuses are sent at a shorter interval because a shared limit is nearly exhausted.
    fn is_urgent(&self) -> bool;

    /// Called when no status of a live peer has arrived within the failure timeout.
    fn peer_lost(&self, peer: Ipv4Addr);
}

/// Sends this instance's status to all known instances over UDP and receives theirs.
pub struct HeartbeatExchange<C> {
    socket: UdpSocket,
    port: u16,
    run: u64,
    sequence: Cell<u64>,
    started_at: crate::clock::Instant,
    members: Rc<RefCell<Members>>,
    clock: C,
}

impl<C: Clock> HeartbeatExchange<C> {
    /// Binds the UDP port, which is the same on all instances.
    pub async fn bind(
        address: SocketAddr,
        members: Rc<RefCell<Members>>,
        clock: C,
    ) -> io::Result<HeartbeatExchange<C>> {
        let socket = UdpSocket::bind(address).await?;
        let port = socket.local_addr()?.port();
        let started_at = clock.now();
        let run = rand::random();
        Ok(HeartbeatExchange {
            socket,
            port,
            run,
            sequence: Cell::new(0),
            started_at,
            members,
            clock,
        })
    }

    /// The bound UDP port.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Sends and receives statuses until the future is dropped.
    pub async fn run<H: StatusHandler>(&self, handler: &H) {
        tokio::join!(self.send_periodically(handler), self.receive_datagrams(handler));
    }

    async fn send_periodically<H: StatusHandler>(&self, handler: &H) {
        loop {
            self.send_round(handler).await;
            let lost = self.members.borrow_mut().expire(self.clock.now());
            lost.into_iter().for_each(|peer| handler.peer_lost(peer));
            let pause_ms = self.members.borrow().interval_ms();
            let pause_ms =
                if handler.is_urgent() { pause_ms / URGENT_INTERVAL_DIVISOR } else { pause_ms };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Sends the current status once to every known instance.
    pub async fn send_round<H: StatusHandler>(&self, handler: &H) {
        let mut status = handler.status();
        self.sequence.set(self.sequence.get() + 1);
        status.run = self.run;
        status.sequence = self.sequence.get();
        status.age_ms = self.clock.now().ms_since(self.started_at);
        status.known = self.members.borrow().sample_live();
        let bytes = match status.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "fleet", "failed to encode status: {error}");
                return;
            }
        };
        let addresses = self.members.borrow().addresses();
        for address in addresses {
            let to = SocketAddr::new(IpAddr::V4(address), self.port);
            if let Err(error) = self.socket.send_to(&bytes, to).await {
                log::debug!(target: "fleet", "failed to send status to {to}: {error}");
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
                    log::debug!(target: "fleet", "failed to receive status: {error}");
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            };
            let IpAddr::V4(from) = from.ip() else { continue };
            let status = match Status::decode(&buffer[..length]) {
                Ok(status) => status,
                Err(error) => {
                    log::debug!(target: "fleet", "malformed status from {from}: {error}");
                    continue;
                }
            };
            let now = self.clock.now();
            let update = self.members.borrow_mut().receive(from, &status, now);
            if let Some(update) = update {
                handler.status_received(from, status, update);
            }
        }
    }
}
