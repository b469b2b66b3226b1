use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;

use crate::clock::Clock;
use crate::fleet::Members;
use crate::replica::{Follower, PeerSource, PeerTransfer, RowSource, Snapshot, SourceError, Topic};

/// Interval between checks for peers with newer replicas. A change that the store's own feed
/// delivers within that time is not read a second time from a peer.
const CHECK_INTERVAL_MS: u64 = 200;
const PULL_TIMEOUT: Duration = Duration::from_millis(600);

/// Pulls snapshots of one topic from peers whose replicas are newer, for example while this
/// instance cannot reach the store or its connection to the store is silently broken.
pub struct PeerPull<P, S, C> {
    topic: Topic,
    peers: Rc<P>,
    follower: Rc<Follower<S, C>>,
    members: Rc<RefCell<Members>>,
}

impl<P: PeerSource, S: RowSource, C: Clock> PeerPull<P, S, C> {
    pub fn new(
        topic: Topic,
        peers: Rc<P>,
        follower: Rc<Follower<S, C>>,
        members: Rc<RefCell<Members>>,
    ) -> PeerPull<P, S, C> {
        PeerPull { topic, peers, follower, members }
    }

    /// Pulls until the future is dropped.
    pub async fn run(&self) {
        let mut was_behind = false;
        loop {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            let own_version = self.follower.content_version();
            let peer_ahead = self.members.borrow().peer_ahead_of(self.topic.index(), own_version);
            let Some(peer) = peer_ahead else {
                was_behind = false;
                continue;
            };
            // Pulls only if the replica was already behind at the previous check.
            if !std::mem::replace(&mut was_behind, true) {
                log::info!(target: "fleet", topic = self.topic.to_string().as_str(),
                    peer = peer.to_string().as_str(), content_version = own_version;
                    "peer has a newer replica");
                continue;
            }
            let fetched = tokio::time::timeout(PULL_TIMEOUT, self.fetch(peer)).await;
            let fetched = fetched
                .unwrap_or_else(|_| Err(SourceError::Unavailable { reason: "timeout".into() }));
            let result = if fetched.is_ok() { "ok" } else { "failed" };
            counter!("almondroad_node_peer_pulls_total", "topic" => self.topic.to_string(),
                "result" => result)
            .increment(1);
            match fetched {
                Ok(snapshot) => self.follower.apply_peer_snapshot(peer, snapshot),
                Err(error) => log::info!(target: "fleet", topic = self.topic.to_string().as_str(),
                    peer = peer.to_string().as_str(), error = error.to_string().as_str();
                    "failed to pull replica from peer"),
            }
        }
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
