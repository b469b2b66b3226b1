//! Keeps the claims of request ids right when holders change and instances die.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Node;
use crate::peer::ClaimReply;
use crate::route::{Holder, find_holder};
use crate::serve::live_claims::LiveClaim;
use crate::units::{AttemptId, ShardId};

const PERIOD: Duration = Duration::from_millis(250);

/// Claims this instance's live requests again at new holders, and releases, as a holder, the
/// claims of runs of instances that have died.
pub async fn keep_claims(node: Rc<Node>) {
    loop {
        tokio::time::sleep(PERIOD).await;
        for (instance, incarnation) in node.claims.claimants() {
            if !node.membership.is_live(&instance, incarnation) {
                log::info!(target: "serve", "claims of {instance} released, its run has ended");
                node.claims.release_instance(&instance, incarnation);
            }
        }
        for (shard, claims) in node.live_claims.by_shard() {
            claim_again(&node, &shard, claims).await;
        }
    }
}

async fn claim_again(node: &Rc<Node>, shard: &ShardId, claims: Vec<(AttemptId, LiveClaim)>) {
    let holding = node.leases.holding(shard).map(|holding| holding.fencing);
    let fencing = node.leases.held(shard).map(|held| held.fencing).or(holding);
    let Some(fencing) = fencing else { return };
    if claims.iter().all(|(_, claim)| claim.fencing == fencing) {
        return;
    }
    let Ok(holder) = find_holder(node, shard).await else { return };
    for (attempt, LiveClaim { organisation, request, fencing: known }) in claims {
        let (answer, fencing) = match &holder {
            Holder::Own(held) if held.fencing != known => {
                (node.claims.claim(&organisation, &request, &attempt).into(), held.fencing)
            }
            Holder::Peer(client, holding) if holding.fencing != known => {
                let answer = client.claim_request(&organisation, &request, &attempt).await;
                let Ok(answer) = answer else { return };
                (answer, holding.fencing)
            }
            _ => continue,
        };
        match answer {
            ClaimReply::NotHolder(known) => {
                known.into_iter().for_each(|holding| node.leases.record_holding(holding));
                return;
            }
            ClaimReply::Claimed => node.live_claims.note_fencing(&attempt, fencing),
            ClaimReply::Held { attempt: other, .. } => {
                log::warn!(target: "serve", "request of {attempt} is also claimed by {other}");
                node.live_claims.note_fencing(&attempt, fencing);
            }
        }
    }
}
