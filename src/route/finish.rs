use std::rc::Rc;

use crate::clock::BootClock;
use crate::gateway::Node;
use crate::pool::{AttemptEnd, FinishedAttempt};
use crate::route::{Holder, find_holder};
use crate::suspect::{SuspectRecord, Suspects};
use crate::units::{Fingerprint, ShardId, Tokens};

/// Notifies the pool's owner that an attempt has ended. If the owner cannot be reached, it learns
/// this from the next report. Returns how many endpoints crashed while running the request.
pub async fn finish_attempt(
    node: &Rc<Node>,
    shard: &ShardId,
    finished: FinishedAttempt,
    fingerprint: Fingerprint,
) -> u32 {
    let (end, output_tokens) = (finished.end, finished.output_tokens);
    match find_holder(node, shard).await {
        Ok(Holder::Own(_)) => node.finish_own_attempt(shard, finished),
        Ok(Holder::Peer(client, _)) => {
            match client.finish_attempt(shard, &finished, fingerprint).await {
                Ok(0) => {}
                Ok(crashes) => node.suspects.merge(SuspectRecord {
                    fingerprint,
                    crashes,
                    output_tokens: Tokens(0),
                    remaining_ms: Suspects::<BootClock>::LIFETIME_MS,
                }),
                Err(error) => log::debug!(target: "route", "end of attempt not delivered: {error}"),
            }
        }
        Err(error) => log::debug!(target: "route", "no owner found for {shard}: {error}"),
    }
    if end == AttemptEnd::EndpointDied {
        node.suspects.record_output(fingerprint, output_tokens);
    }
    node.suspects.crashes(fingerprint)
}
