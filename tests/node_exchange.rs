//! The status exchange between instances, over loopback sockets.

use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

use almondroad::balance::PeerLoad;
use almondroad::clock::{BootClock, Clock};
use almondroad::fleet::{
    HeartbeatExchange, Members, Notices, PeerUpdate, Status, StatusHandler, ZoneLoads,
};
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

#[derive(Debug, PartialEq)]
enum Event {
    Up(Ipv4Addr),
    Down(Ipv4Addr),
}

struct Recorder {
    members: Rc<RefCell<Members>>,
    events: mpsc::UnboundedSender<Event>,
}

impl StatusHandler for Recorder {
    fn status(&self) -> Status {
        Status {
            run: 0,
            sequence: 0,
            age_ms: 0,
            zone: "a".into(),
            is_ready: true,
            is_leaving: false,
            is_store_steady: true,
            versions: [0, 0],
            loads: Vec::new(),
            spent: Vec::new(),
            crashes: Vec::new(),
            known: Vec::new(),
            notices: Notices::default(),
            crash_reports: almondroad::crashes::CrashReports::default(),
            extension: almondroad::fleet::StatusExtension::default(),
        }
    }

    fn status_received(&self, from: Ipv4Addr, _: Status, update: PeerUpdate) {
        if update.is_new {
            self.events.send(Event::Up(from)).unwrap();
        }
    }

    fn zone(&self) -> SmolStr {
        "a".into()
    }

    fn zone_loads(&self, _: Option<Ipv4Addr>) -> Vec<PeerLoad> {
        Vec::new()
    }

    fn zone_loads_received(&self, _: ZoneLoads) {}

    fn news(&self) -> u64 {
        0
    }

    fn is_urgent(&self) -> bool {
        false
    }

    fn peer_lost(&self, peer: Ipv4Addr) {
        assert!(self.members.borrow().live_count() >= 1);
        self.events.send(Event::Down(peer)).unwrap();
    }
}

async fn instance(
    own: Ipv4Addr,
    peer: Ipv4Addr,
    port: u16,
) -> (HeartbeatExchange<BootClock>, Recorder, mpsc::UnboundedReceiver<Event>) {
    let members = Rc::new(RefCell::new(Members::new(own, BootClock.now())));
    members.borrow_mut().add(peer);
    let address = SocketAddr::new(IpAddr::V4(own), port);
    let exchange = HeartbeatExchange::bind(address, Rc::clone(&members), BootClock).await.unwrap();
    let (events, received) = mpsc::unbounded_channel();
    (exchange, Recorder { members, events }, received)
}

/// Guards against an exchange that stops when a peer is lost, after which the instance never again
/// receives the loads and the spent tokens of its peers.
#[tokio::test]
async fn exchange_continues_after_a_peer_is_lost() {
    let (first, second) = (Ipv4Addr::new(127, 0, 0, 1), Ipv4Addr::new(127, 0, 0, 2));
    let local = LocalSet::new();
    let test = async {
        let (exchange, recorder, mut events) = instance(first, second, 0).await;
        let port = exchange.port();
        let running = tokio::task::spawn_local(async move { exchange.run(&recorder).await });
        for _ in 0..2 {
            let (peer, peer_recorder, _events) = instance(second, first, port).await;
            let peer = tokio::task::spawn_local(async move { peer.run(&peer_recorder).await });
            assert_eq!(events.recv().await, Some(Event::Up(second)));
            peer.abort();
            assert!(peer.await.unwrap_err().is_cancelled());
            assert_eq!(events.recv().await, Some(Event::Down(second)));
        }
        assert!(!running.is_finished());
    };
    local.run_until(test).await;
}
