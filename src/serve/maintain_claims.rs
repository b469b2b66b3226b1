//! Maintains the claims of request ids when holders change and instances die.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Node;
use crate::peer::ClaimReply;
use crate::route::{Holder, find_holder};
use crate::serve::live_claims::LiveClaim;
use crate::units::{AttemptId, ShardId};

const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Renews the claims of this instance's live requests at new holders and, as a holder, releases the
/// claims of incarnations that have ended.
pub async fn maintain_claims(node: Rc<Node>) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        for (instance, incarnation) in node.claims.claiming_instances() {
            if !node.membership.is_live(&instance, incarnation) {
                log::info!(target: "serve", "released the claims of {instance}, its incarnation has ended");
                node.claims.release_instance(&instance, incarnation);
            }
        }
        for (shard, claims) in node.live_claims.by_shard() {
            renew_claims(&node, &shard, claims).await;
        }
    }
}

async fn renew_claims(node: &Rc<Node>, shard: &ShardId, claims: Vec<(AttemptId, LiveClaim)>) {
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
            ClaimReply::Claimed => node.live_claims.record_fencing(&attempt, fencing),
            ClaimReply::Held { attempt: other, .. } => {
                log::warn!(target: "serve", "the request id of attempt {attempt} is also claimed by {other}");
                node.live_claims.record_fencing(&attempt, fencing);
            }
        }
    }
}
