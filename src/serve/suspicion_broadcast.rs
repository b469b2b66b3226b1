//! Sends new suspicions to the peers.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock::Clock;
use crate::gateway::Node;
use crate::peer::HeartbeatSource;

/// Bounds the delay that slow peers cause to the resumption of the request.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends the peers a heartbeat with the newest suspicions immediately. The regular heartbeat comes
/// up to a second later; until then, a prompt that crashed an endpoint could crash a third one
/// through them.
pub async fn broadcast_suspicions(node: &Rc<Node>) {
    let peers = node.membership.live_peers();
    let clients = peers.iter().filter_map(|member| node.peers.client(&member.instance));
    let sends = clients.map(|client| async move {
        let sent_at = node.clock.now();
        if let Ok(answer) = client.heartbeat(&node.next_heartbeat(false)).await {
            node.receive_heartbeat(&answer, sent_at);
        }
    });
    if timeout(BROADCAST_TIMEOUT, futures::future::join_all(sends)).await.is_err() {
        log::debug!(target: "suspect", "not all peers have confirmed the suspicions");
    }
}
