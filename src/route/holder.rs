use std::rc::Rc;

use crate::gateway::Node;
use crate::hash::rendezvous_order;
use crate::lease::{HeldLease, Holding};
use crate::peer::{PeerClient, PeerError};
use crate::units::{InstanceId, ShardId};

/// Maximum number of peers to query for a shard's holder. The candidates for a takeover come first,
/// since they learn of it first.
const MAX_QUERIED_PEERS: usize = 3;

/// The instance that holds a shard.
pub enum Holder {
    Own(HeldLease),
    Peer(PeerClient, Holding),
}

/// Finds the shard's holder. If this instance does not know it, queries the first peers in the
/// shard's rendezvous order.
pub async fn find_holder(node: &Rc<Node>, shard: &ShardId) -> Result<Holder, PeerError> {
    if let Some(held) = node.leases.held(shard) {
        return Ok(Holder::Own(held));
    }
    let own = node.membership.local_member().instance;
    if let Some(holding) = node.leases.holding(shard)
        && holding.holder != own
        && let Ok(client) = node.peers.connect(&holding.holder, node).await
    {
        return Ok(Holder::Peer(client, holding));
    }
    for peer in peers_to_query(node, shard) {
        let Some(client) = node.peers.client(&peer) else { continue };
        let Ok(holdings) = client.holders(std::slice::from_ref(shard)).await else { continue };
        for holding in holdings {
            node.leases.record_holding(holding);
        }
        if let Some(holding) = node.leases.holding(shard)
            && holding.holder != own
            && let Ok(client) = node.peers.connect(&holding.holder, node).await
        {
            return Ok(Holder::Peer(client, holding));
        }
    }
    Err(PeerError::NotConnected)
}

fn peers_to_query(node: &Node, shard: &ShardId) -> Vec<InstanceId> {
    let mut peers: Vec<InstanceId> =
        node.membership.live_peers().into_iter().map(|member| member.instance).collect();
    rendezvous_order(&shard.to_string(), &mut peers);
    peers.truncate(MAX_QUERIED_PEERS);
    peers
}
