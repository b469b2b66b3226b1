use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use rand::seq::IndexedRandom;

use crate::clock::{Clock, Instant};
use crate::fleet::{Member, Members};
use crate::replica::{Follower, PeerSource, PeerTransfer, RowSource, Snapshot, SourceError, Topic};

/// Interval between checks for peers with newer replicas. A change that the store's own feed
/// delivers within that time is not read a second time from a peer.
const CHECK_INTERVAL_MS: u64 = 200;
/// Time until a peer responds, and between two parts of its response. A transfer that makes
/// progress is not given up: a peer that serves many others at once sends slowly, and repeating
/// the transfers would add to its load.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for a whole transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest encoded replica that is read from a peer.
const MAX_ENCODED_BYTES: usize = 64 << 20;
/// Time for which other peers are preferred to one whose pull failed.
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
            let Some(peer) = self.select_peer().or_else(|| self.select_failed_peer()) else {
                was_behind = false;
                continue;
            };
            // Pulls only if the replica was already behind at the previous check.
            if std::mem::replace(&mut was_behind, true) {
                self.pull(peer).await;
            } else {
                log::info!(target: "fleet", topic = self.topic.to_string().as_str(),
                    peer = peer.to_string().as_str(),
                    content_version = self.follower.content_version();
                    "peer has a newer replica");
            }
        }
    }

    /// Pulls from `first`, then from one peer after the other until a pull succeeds or all failed.
    async fn pull(&self, first: Ipv4Addr) {
        let mut next = Some(first);
        while let Some(peer) = next {
            let fetched = within(TRANSFER_TIMEOUT, self.fetch(peer)).await;
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
            next = self.select_peer();
        }
    }

    /// A live peer with a newer replica whose last pull failed, if there is no other.
    fn select_failed_peer(&self) -> Option<Ipv4Addr> {
        let own_version = self.follower.content_version();
        let members = self.members.borrow();
        let ahead: Vec<_> = members.peers_ahead_of(self.topic.index(), own_version).collect();
        ahead.choose(&mut rand::rng()).map(|(address, _)| **address)
    }

    /// A random live peer with a newer replica whose last pull has not failed lately. A peer whose
    /// status is overdue may have stopped and is chosen only if there is no other.
    fn select_peer(&self) -> Option<Ipv4Addr> {
        let now = self.clock.now();
        let mut failures = self.failures.borrow_mut();
        failures.retain(|_, failed_at| now.ms_since(*failed_at) < FAILED_PEER_MS);
        let members = self.members.borrow();
        let overdue_ms = members.interval_ms() * 3 / 2;
        let is_overdue = |member: &Member| {
            member.last_received_at.is_none_or(|received_at| now.ms_since(received_at) > overdue_ms)
        };
        let own_version = self.follower.content_version();
        let (overdue, recent): (Vec<_>, Vec<_>) = members
            .peers_ahead_of(self.topic.index(), own_version)
            .filter(|(address, _)| !failures.contains_key(address))
            .partition(|(_, member)| is_overdue(member));
        let mut candidates = if recent.is_empty() { overdue } else { recent };
        if own_version == 0 && failures.is_empty() {
            // A new process should not begin to serve from a replica that others have left behind.
            let version = |member: &Member| member.versions[self.topic.index()];
            let newest = candidates.iter().map(|(_, member)| version(member)).max();
            candidates.retain(|(_, member)| Some(version(member)) == newest);
        }
        candidates.choose(&mut rand::rng()).map(|(address, _)| **address)
    }

    async fn fetch(&self, peer: Ipv4Addr) -> Result<Snapshot, SourceError> {
        let mut transfer = within(PROGRESS_TIMEOUT, self.peers.open(peer, self.topic)).await?;
        let mut encoded = Vec::new();
        while let Some(part) =
            within(PROGRESS_TIMEOUT, async { transfer.next_part().await.transpose() }).await?
        {
            if encoded.len() + part.len() > MAX_ENCODED_BYTES {
                return Err(SourceError::Unavailable { reason: "replica too large".into() });
            }
            encoded.extend_from_slice(&part);
        }
        Snapshot::decode(&encoded, transfer.encoding())
    }
}

/// Fails if `read` takes longer than `limit`.
async fn within<T>(
    limit: Duration,
    read: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    let timeout = || SourceError::Unavailable { reason: "timeout".into() };
    tokio::time::timeout(limit, read).await.unwrap_or_else(|_| Err(timeout()))
}
