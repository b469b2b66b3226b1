use std::rc::Rc;

use smol_str::SmolStr;

use crate::engine::Engine;
use crate::gateway::Node;
use crate::pool::FinishedAttempt;
use crate::serve::CompletionCall;
use crate::serve::attempt::Attempt;
use crate::units::{AttemptId, ShardId};

/// Releases an attempt's resources on the engines and at the pool's owner. If that fails, the owner
/// finds the attempt when it compares the engines' lists with the reports of live attempts.
pub(super) struct Cleanup {
    node: Rc<Node>,
    id: AttemptId,
    shard: ShardId,
    call: Rc<CompletionCall>,
    addresses: [SmolStr; 2],
}

impl Cleanup {
    pub fn of(attempt: &Attempt) -> Cleanup {
        Cleanup {
            node: Rc::clone(&attempt.node),
            id: attempt.id.clone(),
            shard: attempt.shard.clone(),
            call: Rc::clone(&attempt.call),
            addresses: [attempt.plan.prefill_address.clone(), attempt.plan.decode_address.clone()],
        }
    }

    pub async fn cancel_on_engines(&self) {
        let cancels = self.addresses.iter().map(|address| {
            let engine = self.node.endpoint_clients.get(address);
            async move {
                if let Err(error) = engine.cancel(&self.id).await {
                    log::debug!(target: "serve", "cannot cancel attempt {}: {error}", self.id);
                }
            }
        });
        futures::future::join_all(cancels).await;
    }

    pub async fn finish_at_pool_owner(&self, finished: FinishedAttempt) -> u32 {
        self.node.running_attempts.remove(&self.id);
        let fingerprint = self.call.fingerprint;
        crate::route::finish_attempt(&self.node, &self.shard, finished, fingerprint).await
    }
}
