use std::rc::Rc;

use crate::gateway::Node;
use crate::gateway::ownership::shards_of;
use crate::peer::Member;
use crate::units::ShardId;

/// Sends a shard's state to its successor. The state of a pool needs no sending: reports of live
/// attempts rebuild it within a second.
pub async fn send_state(node: Rc<Node>, shard: ShardId, successor: Member) -> bool {
    let ShardId::Budget(_) = shard else { return true };
    let Some(state) = node.budgets.export(&shard) else { return true };
    let Ok(client) = node.peers.connect(&successor.instance, &node).await else { return false };
    client.hand_over(&shard, &state).await.unwrap_or(false)
}

/// Hands all leases over before a planned stop.
pub async fn hand_over_all(node: &Rc<Node>) {
    for shard in shards_of(&node.configuration.current().document) {
        if node.leases.held(&shard).is_none() {
            continue;
        }
        let Some(successor) = node.leases.successors(&shard).into_iter().next() else { continue };
        let is_sent = send_state(Rc::clone(node), shard.clone(), successor.clone()).await;
        if !is_sent {
            log::warn!(target: "lease", "state of {shard} not sent, its lease will lapse");
            continue;
        }
        if let Err(error) = node.leases.hand_over(&shard, &successor).await {
            log::warn!(target: "lease", "{shard} not handed over: {error}");
        }
    }
}
