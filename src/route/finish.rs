use std::rc::Rc;

use crate::clock::BootClock;
use crate::gateway::Node;
use crate::pool::FinishedAttempt;
use crate::route::{Holder, find_holder};
use crate::suspect::{Suspects, Suspicion};
use crate::units::{Fingerprint, ShardId};

/// Tells the pool's owner that an attempt has ended. An owner that cannot be reached learns it
/// from the next report. Returns how many endpoints died under the fingerprint.
pub async fn finish_attempt(
    node: &Rc<Node>,
    shard: &ShardId,
    finished: FinishedAttempt,
    fingerprint: Fingerprint,
) -> u32 {
    match find_holder(node, shard).await {
        Ok(Holder::Own(_)) => node.finish_own_attempt(shard, finished),
        Ok(Holder::Peer(client, _)) => {
            match client.finish_attempt(shard, &finished, fingerprint).await {
                Ok(0) => {}
                Ok(crashes) => node.suspects.learn(Suspicion {
                    fingerprint,
                    crashes,
                    remaining_ms: Suspects::<BootClock>::LIFETIME_MS,
                }),
                Err(error) => log::debug!(target: "route", "finish not delivered: {error}"),
            }
        }
        Err(error) => log::debug!(target: "route", "no owner of {shard}: {error}"),
    }
    node.suspects.crashes(fingerprint)
}
