//! Collects and records claims of request ids as the holder of a shard.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::budget::ReportedClaim;
use crate::gateway::{Node, budget_shard};
use crate::peer::{ClaimReply, Member, PeerError};
use crate::units::{AttemptId, FencingToken, OrganisationId, RequestId, ShardId};

/// Timeout of one instance's report. An instance that does not respond has died, or is partitioned
/// and renews its claims once it reaches the holder.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Collects the claims of a shard that this instance has just gained from all instances. Until then
/// a repeat cannot be distinguished from a new request.
pub async fn collect_claims(node: Rc<Node>, shard: ShardId, fencing: FencingToken) {
    let mut reports = JoinSet::new();
    for member in node.membership.live_peers() {
        let report = request_report(Rc::clone(&node), member, shard.clone());
        reports.spawn_local(tokio::time::timeout(REPORT_TIMEOUT, report));
    }
    for claim in node.live_claims.of_shard(&shard, &node.clock) {
        node.claims.add_reported(&claim);
    }
    while let Some(report) = reports.join_next().await {
        if let Ok(Ok(Ok(claims))) = report {
            claims.iter().for_each(|claim| node.claims.add_reported(claim));
        }
    }
    node.claims.set_collected(&shard, fencing);
}

async fn request_report(
    node: Rc<Node>,
    member: Member,
    shard: ShardId,
) -> Result<Vec<ReportedClaim>, PeerError> {
    // After a planned stop, an instance is listed as leaving for some seconds. Waiting for it would
    // delay all requests of the shard.
    if member.is_leaving && node.peers.has_ended(&member).await {
        return Err(PeerError::NotConnected);
    }
    let client = node.peers.connect(&member.instance, &node).await?;
    client.report_claims(&shard).await
}

/// Claims a request id at this instance if it holds the shard and has collected the claims made at
/// the previous holder.
pub fn claim_locally(
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
