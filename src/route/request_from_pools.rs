use std::rc::Rc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::gateway::Node;
use crate::pool::{Admission, AdmitAnswer, AttemptEnd, FinishedAttempt};
use crate::route::admit::request_from_owner;
use crate::route::finish_attempt;
use crate::units::{ShardId, Tokens};

/// Waits in the queues of several pools at once. Returns when the first pool grants a plan or all
/// have answered, with the answers so far. `admission` is sent to each pool with only its `shard`
/// changed.
pub(super) async fn request_from_pools(
    node: &Rc<Node>,
    shards: &[ShardId],
    admission: &Admission,
) -> Vec<(ShardId, Option<AdmitAnswer>)> {
    let pending = shards.iter().map(|shard| async move {
        let admission = Admission { shard: shard.clone(), ..admission.clone() };
        (shard, request_from_owner(node, shard, admission).await)
    });
    let mut pending: FuturesUnordered<_> = pending.collect();
    let mut answers = Vec::new();
    let mut unanswered = shards.to_vec();
    while let Some((shard, answer)) = pending.next().await {
        unanswered.retain(|other| other != shard);
        let is_plan = matches!(answer, Some(AdmitAnswer::Plan(_)));
        answers.push((shard.clone(), answer));
        if is_plan {
            break;
        }
    }
    // Drop the calls before sending withdrawals, so that no pool admits the attempt afterwards.
    drop(pending);
    unanswered.iter().for_each(|shard| spawn_withdrawal(node, shard, admission));
    answers
}

/// Releases what a pool may have reserved in an answer that was not read.
fn spawn_withdrawal(node: &Rc<Node>, shard: &ShardId, admission: &Admission) {
    let finished = FinishedAttempt {
        attempt: admission.attempt.clone(),
        end: AttemptEnd::Cancelled,
        endpoint: None,
        is_unreached: false,
        output_tokens: Tokens(0),
        first_token_ms: 0,
        decode_ms: 0,
    };
    let (node, shard, fingerprint) = (Rc::clone(node), shard.clone(), admission.fingerprint);
    tokio::task::spawn_local(async move {
        finish_attempt(&node, &shard, finished, fingerprint).await;
    });
}
