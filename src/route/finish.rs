use std::rc::Rc;

use crate::clock::BootClock;
use crate::gateway::Node;
use crate::pool::{AttemptEnd, FinishedAttempt};
use crate::route::{Holder, find_holder};
use crate::suspect::{SuspectRecord, Suspects};
use crate::units::{Fingerprint, ShardId, Tokens};

/// Tells the pool's owner that an attempt has ended. An owner that cannot be reached learns it
/// from the next report. Returns how many endpoints died under the fingerprint.
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
                Err(error) => log::debug!(target: "route", "finish not delivered: {error}"),
            }
        }
        Err(error) => log::debug!(target: "route", "no owner of {shard}: {error}"),
    }
    if end == AttemptEnd::EndpointDied {
        node.suspects.record_output(fingerprint, output_tokens);
    }
    node.suspects.crashes(fingerprint)
}
