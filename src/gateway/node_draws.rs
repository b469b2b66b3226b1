use std::rc::Weak;

use crate::budget::{DrawAnswer, DrawCalls, DrawError, DrawRequest};
use crate::gateway::{BUDGET_SHARDS, Node};
use crate::route::{Holder, find_holder};
use crate::units::ShardId;

/// Sends draws to the holder of the organisation's budget.
#[derive(Clone)]
pub struct NodeDraws {
    node: Weak<Node>,
}

impl NodeDraws {
    pub fn new(node: Weak<Node>) -> NodeDraws {
        NodeDraws { node }
    }
}

impl DrawCalls for NodeDraws {
    async fn draw(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError> {
        let node = self.node.upgrade().ok_or(DrawError::Unreachable)?;
        let shard = ShardId::of_organisation(&request.organisation, BUDGET_SHARDS);
        match find_holder(&node, &shard).await {
            Ok(Holder::Own(held)) => Ok(node.budgets.draw(request, held.deadline)),
            Ok(Holder::Peer(client, _)) => {
                let answer = client.draw(request).await.map_err(|_| DrawError::Unreachable)?;
                if let DrawAnswer::NotHolder(Some(holding)) = &answer {
                    node.leases.learn(holding.clone());
                }
                Ok(answer)
            }
            Err(_) => Err(DrawError::Unreachable),
        }
    }
}
