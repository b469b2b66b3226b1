use std::rc::Weak;

use crate::budget::{DrawAnswer, DrawClient, DrawError, DrawRequest};
use crate::gateway::Node;
use crate::route::{Holder, find_holder};

/// Sends draws to the holder of the organisation's budget, or of its part in this region.
#[derive(Clone)]
pub struct NodeDraws {
    node: Weak<Node>,
}

impl NodeDraws {
    pub fn new(node: Weak<Node>) -> NodeDraws {
        NodeDraws { node }
    }
}

impl DrawClient for NodeDraws {
    async fn draw(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError> {
        let node = self.node.upgrade().ok_or(DrawError::Unreachable)?;
        let shard = node.draw_shard(&request.organisation);
        match find_holder(&node, &shard).await {
            Ok(Holder::Own(held)) => Ok(node.draw_locally(&shard, request, &held)),
            Ok(Holder::Peer(client, _)) => {
                let answer = client.draw(request).await.map_err(|_| DrawError::Unreachable)?;
                if let DrawAnswer::NotHolder(Some(holding)) = &answer {
                    node.leases.record_holding(holding.clone());
                }
                Ok(answer)
            }
            Err(_) => Err(DrawError::Unreachable),
        }
    }
}
