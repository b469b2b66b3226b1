//! Renews this region's parts of the budgets at the holders of the budget shards.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

use crate::budget::PartAnswer;
use crate::gateway::{Node, region_budget_shard_of};
use crate::route::{Holder, find_holder};
use crate::units::ShardId;

const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Sends each request for parts when it is due.
pub async fn renew_parts(node: Rc<Node>) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        for shard in node.region_budgets.take_due() {
            spawn_local(renew(Rc::clone(&node), shard));
        }
    }
}

/// A request without a response is repeated when it is due again.
async fn renew(node: Rc<Node>, shard: ShardId) {
    let Ok(holder) = find_holder(&node, &shard).await else { return };
    let holder_fencing = match &holder {
        Holder::Own(held) => held.fencing,
        Holder::Peer(_, holding) => holding.fencing,
    };
    let region_shard = region_budget_shard_of(&node, &shard);
    let Some(own) = node.leases.held(&region_shard) else { return };
    let request = node.region_budgets.request(&shard, holder_fencing, own.deadline);
    let Some(request) = request else { return };
    let answer = match holder {
        Holder::Own(held) => Ok(node.region_budgets.renew(&shard, &request, held.deadline)),
        Holder::Peer(client, _) => client.renew_parts(&shard, &request).await,
    };
    match answer {
        Ok(PartAnswer::Parts(parts)) => node.region_budgets.apply(&shard, &request, &parts),
        Ok(PartAnswer::NotHolder(Some(holding))) => node.leases.record_holding(holding),
        Ok(PartAnswer::NotHolder(None) | PartAnswer::Stale) => {}
        Err(error) => log::debug!(target: "budget", "cannot renew the parts of {shard}: {error}"),
    }
}
