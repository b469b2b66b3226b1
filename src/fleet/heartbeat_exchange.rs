use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::clock::Clock;
use crate::fleet::{Members, PeerUpdate, Status};

/// How much more often datagrams are sent while a shared limit is near.
const URGENT_SPEEDUP: u64 = 4;
/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// What datagrams carry to and from the other parts of an instance.
pub trait StatusHandler: 'static {
    /// The state of this instance. The exchange fills in run, sequence, age and known instances.
    fn status(&self) -> Status;

    fn status_received(&self, from: Ipv4Addr, status: Status, received: PeerUpdate);

    /// Whether peers need to know at once what this instance does, since a shared limit is near.
    fn is_urgent(&self) -> bool;

    /// A peer fell silent.
    fn peer_lost(&self, peer: Ipv4Addr);
}

/// Sends this instance's status to all others and receives theirs.
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
    /// Binds the port that all instances use.
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

    /// The UDP port in use.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Runs until the task is dropped.
    pub async fn run<H: StatusHandler>(&self, handler: &H) {
        tokio::join!(self.send_all(handler), self.receive_all(handler));
    }

    async fn send_all<H: StatusHandler>(&self, handler: &H) {
        loop {
            self.send_round(handler).await;
            let silent = self.members.borrow_mut().expire(self.clock.now());
            silent.into_iter().for_each(|peer| handler.peer_lost(peer));
            let pause_ms = self.members.borrow().interval_ms();
            let pause_ms = if handler.is_urgent() { pause_ms / URGENT_SPEEDUP } else { pause_ms };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Sends the status to every known instance once.
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
                log::error!(target: "fleet", "status cannot be encoded: {error}");
                return;
            }
        };
        let addresses = self.members.borrow().addresses();
        for address in addresses {
            let to = SocketAddr::new(IpAddr::V4(address), self.port);
            if let Err(error) = self.socket.send_to(&bytes, to).await {
                log::debug!(target: "fleet", "status not sent to {to}: {error}");
            }
        }
    }

    async fn receive_all<H: StatusHandler>(&self, handler: &H) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // An ICMP answer to an earlier datagram shows up here.
                    log::debug!(target: "fleet", "status not received: {error}");
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            };
            let IpAddr::V4(from) = from.ip() else { continue };
            let status = match Status::decode(&buffer[..length]) {
                Ok(status) => status,
                Err(error) => {
                    log::debug!(target: "fleet", "status of {from} is malformed: {error}");
                    continue;
                }
            };
            let now = self.clock.now();
            let received = self.members.borrow_mut().receive(from, &status, now);
            if let Some(received) = received {
                handler.status_received(from, status, received);
            }
        }
    }
}
