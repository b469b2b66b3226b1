use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;

use crate::clock::{Clock, Instant};
use crate::fleet::Members;
use crate::replica::{Follower, PeerSource, PeerTransfer, RowSource, Snapshot, SourceError, Topic};

/// Interval between checks for peers with newer replicas. A change that the store's own feed
/// delivers within that time is not read a second time from a peer.
const CHECK_INTERVAL_MS: u64 = 200;
const PULL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a peer is not pulled from after a failure, as long as another one is ahead.
const FAILED_PEER_MS: u64 = 2_000;

/// Pulls snapshots of one topic from peers whose replicas are newer, for example while this
/// instance cannot reach the store or its connection to the store is silently broken.
pub struct PeerPull<P, S, C> {
    topic: Topic,
    peers: Rc<P>,
    follower: Rc<Follower<S, C>>,
    members: Rc<RefCell<Members>>,
    clock: C,
    /// Times of the last failures of peers.
    failures: RefCell<HashMap<Ipv4Addr, Instant>>,
}

impl<P: PeerSource, S: RowSource, C: Clock> PeerPull<P, S, C> {
    pub fn new(
        topic: Topic,
        peers: Rc<P>,
        follower: Rc<Follower<S, C>>,
        members: Rc<RefCell<Members>>,
        clock: C,
    ) -> PeerPull<P, S, C> {
        PeerPull { topic, peers, follower, members, clock, failures: RefCell::default() }
    }

    /// Pulls until the future is dropped.
    pub async fn run(&self) {
        let mut was_behind = false;
        loop {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            let Some(peer) = self.select_peer() else {
                was_behind = false;
                continue;
            };
            // Pulls only if the replica was already behind at the previous check.
            if std::mem::replace(&mut was_behind, true) {
                self.pull_until_done().await;
            } else {
                log::info!(target: "fleet", topic = self.topic.to_string().as_str(),
                    peer = peer.to_string().as_str(),
                    content_version = self.follower.content_version();
                    "peer has a newer replica");
            }
        }
    }

    /// Pulls from one peer after the other until a pull succeeds or none is left.
    async fn pull_until_done(&self) {
        while let Some(peer) = self.select_peer() {
            let fetched = tokio::time::timeout(PULL_TIMEOUT, self.fetch(peer)).await;
            let fetched = fetched
                .unwrap_or_else(|_| Err(SourceError::Unavailable { reason: "timeout".into() }));
            let result = if fetched.is_ok() { "ok" } else { "failed" };
            counter!("almondroad_node_peer_pulls_total", "topic" => self.topic.to_string(),
                "result" => result)
            .increment(1);
            match fetched {
                Ok(snapshot) => return self.follower.apply_peer_snapshot(peer, snapshot),
                Err(error) => {
                    log::info!(target: "fleet", topic = self.topic.to_string().as_str(),
                        peer = peer.to_string().as_str(), error = error.to_string().as_str();
                        "failed to pull replica from peer");
                    self.failures.borrow_mut().insert(peer, self.clock.now());
                }
            }
        }
    }

    /// The live peer with a newer replica that was heard from last, since it is most likely to be
    /// reachable. Peers whose last pull failed are left out for a while.
    fn select_peer(&self) -> Option<Ipv4Addr> {
        let now = self.clock.now();
        let mut failures = self.failures.borrow_mut();
        failures.retain(|_, failed_at| now.ms_since(*failed_at) < FAILED_PEER_MS);
        let own_version = self.follower.content_version();
        let members = self.members.borrow();
        let ahead = members.peers_ahead_of(self.topic.index(), own_version);
        ahead
            .filter(|(address, _)| !failures.contains_key(address))
            .max_by_key(|(_, member)| member.last_received_at)
            .map(|(address, _)| *address)
    }

    async fn fetch(&self, peer: Ipv4Addr) -> Result<Snapshot, SourceError> {
        let mut transfer = self.peers.open(peer, self.topic).await?;
        let mut encoded = Vec::new();
        while let Some(part) = transfer.next_part().await {
            encoded.extend_from_slice(&part?);
        }
        Snapshot::decode(&encoded)
    }
}
