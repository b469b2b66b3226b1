use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::budget::ReportedClaim;
use crate::gateway::{Node, budget_shard};
use crate::peer::{ClaimReply, Member, PeerError};
use crate::units::{AttemptId, FencingToken, OrganisationId, RequestId, ShardId};

/// Limit for one instance's answer. An instance that does not answer has died, or it is cut off
/// and claims its requests again once it reaches the holder.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Asks all instances for the request ids of a shard that this instance has just gained. Until
/// they have answered, a repeat could not be told from a new request.
pub async fn collect_claims(node: Rc<Node>, shard: ShardId, fencing: FencingToken) {
    let mut reports = JoinSet::new();
    for member in node.membership.live_peers() {
        let report = ask(Rc::clone(&node), member, shard.clone());
        reports.spawn_local(tokio::time::timeout(REPORT_TIMEOUT, report));
    }
    for claim in node.live_claims.of_shard(&shard, &node.clock) {
        node.claims.learn(&claim);
    }
    while let Some(report) = reports.join_next().await {
        if let Ok(Ok(Ok(claims))) = report {
            claims.iter().for_each(|claim| node.claims.learn(claim));
        }
    }
    node.claims.set_collected(&shard, fencing);
}

async fn ask(
    node: Rc<Node>,
    member: Member,
    shard: ShardId,
) -> Result<Vec<ReportedClaim>, PeerError> {
    // After a planned stop, an instance is known as leaving for some seconds. Waiting for it would
    // hold up all requests of the shard.
    if member.is_leaving && node.peers.has_ended(&member).await {
        return Err(PeerError::NotConnected);
    }
    let client = node.peers.connect(&member.instance, &node).await?;
    client.report_claims(&shard).await
}

/// Claims a request id at this instance if it holds the shard and knows the claims of the holder
/// before it.
pub fn claim_here(
    node: &Node,
    organisation: &OrganisationId,
    request: &RequestId,
    attempt: &AttemptId,
) -> Option<(ClaimReply, FencingToken)> {
    let shard = budget_shard(organisation);
    let held = node.leases.held(&shard)?;
    if !node.claims.is_collected(&shard, held.fencing) {
        return None;
    }
    Some((node.claims.claim(organisation, request, attempt).into(), held.fencing))
}
