//! Handover of leases and shard states to successors.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Node;
use crate::gateway::ownership::shards_of;
use crate::peer::{Member, PeerError};
use crate::units::ShardId;

/// Maximum successors that are offered a shard. A successor refuses if it is stopping too.
const MAX_SUCCESSORS: usize = 4;
/// Maximum rounds of handovers, and the delay between them. Meanwhile shards arrive that peers
/// handed to this instance before they knew of its stop; the next round passes them on.
const MAX_ROUNDS: u32 = 20;
const ROUND_DELAY: Duration = Duration::from_millis(100);

/// Sends a shard's state to its successor before rebalancing moves the lease. If the successor
/// refuses, this instance continues with the exported state. Without a response the successor may
/// already use the state, so the lease is given up.
pub async fn send_state(node: Rc<Node>, shard: ShardId, successor: Member) -> bool {
    let state = export_state(&node, &shard);
    match offer_shard(&node, &shard, &state, &successor).await {
        Ok(true) => return true,
        Ok(false) | Err(PeerError::NotConnected) => node.budgets.cancel_export(&shard),
        Err(_) if matches!(shard, ShardId::Budget(_)) => node.leases.abandon(&shard),
        Err(_) => {}
    }
    false
}

/// Pools need no exported state: reports of live attempts rebuild it within a second. A new holder
/// of region budgets requests its parts again.
fn export_state(node: &Node, shard: &ShardId) -> Vec<u8> {
    match shard {
        ShardId::Budget(_) => node.budgets.export(shard).unwrap_or_default(),
        ShardId::RegionBudget { .. } | ShardId::Pool { .. } => Vec::new(),
    }
}

/// Offers a shard. Returns whether the successor has the state and waits for the lease.
async fn offer_shard(
    node: &Rc<Node>,
    shard: &ShardId,
    state: &[u8],
    successor: &Member,
) -> Result<bool, PeerError> {
    let client = node.peers.connect(&successor.instance, node).await;
    let client = client.map_err(|_| PeerError::NotConnected)?;
    client.hand_over(shard, state).await
}

/// Hands all leases over before a planned stop.
pub async fn hand_over_all(node: &Rc<Node>) {
    for _ in 0..MAX_ROUNDS {
        for shard in shards_of(&node.configuration.current().document) {
            if node.leases.held(&shard).is_some() {
                hand_over(node, &shard).await;
            }
        }
        if !node.leases.is_expecting_handover() {
            return;
        }
        tokio::time::sleep(ROUND_DELAY).await;
    }
}

async fn hand_over(node: &Rc<Node>, shard: &ShardId) {
    let state = export_state(node, shard);
    for successor in node.leases.successors(shard).iter().take(MAX_SUCCESSORS) {
        if !offer_shard(node, shard, &state, successor).await.unwrap_or(false) {
            log::info!(target: "lease", "{} refused the handover of {shard}", successor.instance);
            continue;
        }
        if let Err(error) = node.leases.hand_over(shard, successor).await {
            log::warn!(target: "lease", "handover of {shard} failed: {error}");
        }
        return;
    }
    log::warn!(target: "lease", "no successor accepted {shard}, its lease will expire");
}
