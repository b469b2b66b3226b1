use std::rc::Rc;
use std::time::Duration;

use crate::clock::Clock;
use crate::config::Endpoint;
use crate::engine::prefix_hashes;
use crate::gateway::Node;
use crate::pool::{Admission, AdmitAnswer};
use crate::route::request_from_pools::request_from_pools;
use crate::route::{Admitted, Holder, find_holder};
use crate::serve::{CompletionCall, MAX_CRASHES, RequestProgress, ServeError};
use crate::units::{AttemptId, EndpointId, ShardId};

/// Delay before a pool is asked again while its ownership changes or all pools are full.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Queue time in the first round if the model has several pools. The first round looks for a pool
/// that admits immediately, before the request waits in the queues of all pools.
const FIRST_ROUND_QUEUE_MS: u64 = 0;

/// Requests a prefill and decode pair from the owners of the model's pools, until the request's
/// queue deadline. Time during which an owner was unavailable does not count as queue time.
pub async fn admit(
    node: &Rc<Node>,
    call: &CompletionCall,
    attempt: &AttemptId,
    avoid: &[EndpointId],
    progress: &RequestProgress,
) -> Result<Admitted, ServeError> {
    let outcome = progress.outcome();
    let mut retry_after_ms = 1_000;
    let mut round = 0;
    let mut queue_deadline = call.queue_deadline;
    let prefix_hashes = prefix_hashes(call.organisation.as_str(), &call.prompt);
    loop {
        let crashes = node.suspects.crashes(call.fingerprint);
        if crashes >= MAX_CRASHES {
            return Err(ServeError::CrashesEndpoints { outcome });
        }
        let is_suspect = crashes > 0;
        let first_index = progress.output_tokens();
        let proof_tokens = node.suspects.proof_tokens(call.fingerprint, first_index);
        let shards = pools_of_model(node, call);
        if shards.is_empty() {
            return Err(ServeError::NoEndpoint { outcome });
        }
        let is_first = round == 0 && shards.len() > 1;
        let mut is_refused_everywhere = true;
        let mut is_full = false;
        let mut is_owner_missing = false;
        let round_started_at = node.clock.now();
        let is_region = |shard: &ShardId| is_in_region(shard, node);
        for group in shards.chunk_by(|a, b| !is_first && is_region(a) == is_region(b)) {
            let queue_left_ms = queue_deadline.ms_since(node.clock.now());
            let queue_ms = if is_first { FIRST_ROUND_QUEUE_MS } else { queue_left_ms };
            let admission = Admission {
                attempt: attempt.clone(),
                organisation: call.organisation.clone(),
                shard: group[0].clone(),
                prompt_tokens: call.prompt_tokens_bound(),
                max_output_tokens: call.max_output_tokens,
                prefix_hashes: prefix_hashes.clone(),
                class: call.class,
                remaining_ms: call.deadline.ms_since(node.clock.now()),
                queue_ms: queue_ms.min(queue_left_ms),
                fingerprint: call.fingerprint,
                is_suspect,
                proof_tokens,
                avoid: avoid.to_vec(),
                zone: node.settings.zone.clone(),
            };
            for (shard, answer) in request_from_pools(node, group, &admission).await {
                match answer {
                    Some(AdmitAnswer::Plan(plan)) => {
                        node.free_slots.update(&shard, plan.free_slots);
                        return Ok(Admitted { shard, plan, is_suspect, proof_tokens });
                    }
                    Some(AdmitAnswer::Full { retry_after_ms: after_ms, free_slots }) => {
                        node.free_slots.update(&shard, free_slots);
                        retry_after_ms = after_ms;
                        is_refused_everywhere = false;
                        is_full = true;
                    }
                    Some(AdmitAnswer::NoEndpoint) => {}
                    Some(AdmitAnswer::NotHolder(_)) | None => {
                        is_refused_everywhere = false;
                        is_owner_missing = true;
                    }
                }
            }
        }
        if is_owner_missing {
            let waited_ms = node.clock.now().ms_since(round_started_at);
            queue_deadline = queue_deadline.plus_ms(waited_ms).min(call.holder_deadline);
        }
        let is_late = node.clock.now() >= queue_deadline;
        if is_late && is_refused_everywhere {
            return Err(ServeError::NoEndpoint { outcome });
        }
        if is_late {
            return Err(ServeError::NoCapacity { retry_after_ms, outcome });
        }
        round += 1;
        if !(is_first && is_full) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns `None` if the owner cannot be found or reached.
pub(super) async fn request_from_owner(
    node: &Rc<Node>,
    shard: &ShardId,
    admission: Admission,
) -> Option<AdmitAnswer> {
    match find_holder(node, shard).await.ok()? {
        Holder::Own(held) => Some(node.pools.admit(admission, held.deadline).await),
        Holder::Peer(client, _) => {
            let answer = client.admit(&admission).await.ok()?;
            if let AdmitAnswer::NotHolder(Some(holding)) = &answer {
                node.leases.record_holding(holding.clone());
            }
            Some(answer)
        }
    }
}

/// Returns the pools of the call's model: those of this region first, then by free slots.
fn pools_of_model(node: &Node, call: &CompletionCall) -> Vec<ShardId> {
    let current = node.configuration.current();
    let mut shards: Vec<ShardId> = Vec::new();
    for endpoint in current.document.endpoints.values() {
        let Endpoint::Engine(engine) = endpoint else { continue };
        let Some(zone) = current.document.zones.get(&engine.zone) else { continue };
        if engine.model != call.model {
            continue;
        }
        let shard = ShardId::Pool {
            region: zone.region.clone(),
            model: engine.model.clone(),
            slice: engine.slice,
        };
        if !shards.contains(&shard) {
            shards.push(shard);
        }
    }
    node.free_slots.sort(&mut shards);
    shards.sort_by_key(|shard| !is_in_region(shard, node));
    shards
}

fn is_in_region(shard: &ShardId, node: &Node) -> bool {
    matches!(shard, ShardId::Pool { region, .. } if *region == node.settings.region)
}
