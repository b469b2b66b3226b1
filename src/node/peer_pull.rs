use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::clock::Clock;
use crate::http::{HttpClient, HttpError};
use crate::node::node_handler::REPLICA_PATH;
use crate::node::{NodeState, PlatformAdapter};
use crate::replica::{Snapshot, Topic};

/// Pause between looks for peers that are ahead. A change that the store's own feed brings within
/// that time is not read twice.
const LOOK_MS: u64 = 200;
const PULL_TIMEOUT: Duration = Duration::from_millis(600);

/// Reads replicas from peers that are ahead, as when this instance cannot reach the store, or its
/// connection to it has gone silent.
pub(super) async fn pull_from_peers<A: PlatformAdapter, C: Clock>(node: Rc<NodeState<A, C>>) {
    let mut was_behind = [false; 2];
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        for topic in Topic::ALL {
            let own = node.follower(topic).content_version();
            let ahead = node.members.borrow().peer_ahead_of(topic.index(), own);
            let was_behind = &mut was_behind[topic.index()];
            let Some(peer) = ahead else {
                *was_behind = false;
                continue;
            };
            if !std::mem::replace(was_behind, true) {
                continue;
            }
            let address = format!("{peer}:{}", node.settings.peer_address.port());
            match pull(&address, topic).await {
                Ok(snapshot) => node.follower(topic).apply_peer_snapshot(snapshot),
                Err(error) => log::info!(target: "fleet", topic = topic.to_string().as_str(),
                    error = error.to_string().as_str(); "replica not read from a peer"),
            }
        }
    }
}

async fn pull(address: &str, topic: Topic) -> Result<Snapshot, HttpError> {
    let client = HttpClient::new(address);
    let path = format!("{REPLICA_PATH}{topic}");
    let request = client.request(Method::GET, &path, Bytes::new())?;
    let read = async { client.read_body(client.send(request, PULL_TIMEOUT).await?).await };
    let timeout = || HttpError::Timeout { address: address.into() };
    let bytes = tokio::time::timeout(PULL_TIMEOUT, read).await.map_err(|_| timeout())??;
    postcard::from_bytes(&bytes).map_err(|error| HttpError::Malformed {
        address: address.into(),
        reason: error.to_string().into(),
    })
}
