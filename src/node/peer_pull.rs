//! Replication from peers, which also works while the store is unreachable.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use metrics::counter;

use crate::clock::Clock;
use crate::http::{HttpClient, HttpError};
use crate::node::node_handler::REPLICA_PATH_PREFIX;
use crate::node::{NodeState, PlatformAdapter};
use crate::replica::{Snapshot, Topic};

/// Interval between checks for peers with newer replicas. A change that the store's own feed
/// delivers within that time is not read a second time from a peer.
const CHECK_INTERVAL_MS: u64 = 200;
const PULL_TIMEOUT: Duration = Duration::from_millis(600);

/// Pulls snapshots from peers whose replicas are newer, for example while this instance cannot
/// reach the store or its connection to the store is silently broken.
pub(super) async fn pull_from_peers<A: PlatformAdapter, C: Clock>(node: Rc<NodeState<A, C>>) {
    let mut was_behind = [false; 2];
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        for topic in Topic::ALL {
            let own_version = node.follower(topic).content_version();
            let peer_ahead = node.members.borrow().peer_ahead_of(topic.index(), own_version);
            let was_behind = &mut was_behind[topic.index()];
            let Some(peer) = peer_ahead else {
                *was_behind = false;
                continue;
            };
            // Pulls only if the replica was already behind at the previous check.
            if !std::mem::replace(was_behind, true) {
                log::info!(target: "fleet", topic = topic.to_string().as_str(),
                    peer = peer.to_string().as_str(), content_version = own_version;
                    "peer has a newer replica");
                continue;
            }
            let address = format!("{peer}:{}", node.settings.peer_address.port());
            let fetched = fetch_snapshot(&address, topic).await;
            let result = if fetched.is_ok() { "ok" } else { "failed" };
            counter!("almondroad_node_peer_pulls_total", "topic" => topic.to_string(),
                "result" => result)
            .increment(1);
            match fetched {
                Ok(snapshot) => node.follower(topic).apply_peer_snapshot(peer, snapshot),
                Err(error) => log::info!(target: "fleet", topic = topic.to_string().as_str(),
                    error = error.to_string().as_str(); "failed to pull replica from peer"),
            }
        }
    }
}

async fn fetch_snapshot(address: &str, topic: Topic) -> Result<Snapshot, HttpError> {
    let client = HttpClient::new(address);
    let path = format!("{REPLICA_PATH_PREFIX}{topic}");
    let request = client.request(Method::GET, &path, Bytes::new())?;
    let read = async { client.read_body(client.send(request, PULL_TIMEOUT).await?).await };
    let timeout = || HttpError::Timeout { address: address.into() };
    let bytes = tokio::time::timeout(PULL_TIMEOUT, read).await.map_err(|_| timeout())??;
    postcard::from_bytes(&bytes).map_err(|error| HttpError::Malformed {
        address: address.into(),
        reason: error.to_string().into(),
    })
}
