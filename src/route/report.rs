use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Node;
use crate::pool::Progress;
use crate::route::{Holder, find_holder};
use crate::units::{AttemptId, ShardId};

const REPORT_PERIOD: Duration = Duration::from_millis(1000);

/// Sends the complete lists of this instance's live attempts to the pools' owners once a second. A
/// pool whose last attempt has ended gets one empty list.
pub async fn report_progress(node: Rc<Node>) {
    let mut reported: HashSet<ShardId> = HashSet::new();
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        let mut reports = node.running_attempts.reports(&node.clock);
        for shard in reported.drain() {
            reports.entry(shard).or_default();
        }
        let sends = reports.iter().map(|(shard, attempts)| send(&node, shard, attempts));
        futures::future::join_all(sends).await;
        let with_attempts = reports.into_iter().filter(|(_, attempts)| !attempts.is_empty());
        reported.extend(with_attempts.map(|(shard, _)| shard));
    }
}

/// Sends an attempt's progress to the owner of its pool without waiting for the next periodic
/// report.
pub async fn report_attempt(node: &Rc<Node>, attempt: &AttemptId) {
    if let Some((shard, progress)) = node.running_attempts.report(attempt, &node.clock) {
        send(node, &shard, &[progress]).await;
    }
}

async fn send(node: &Rc<Node>, shard: &ShardId, attempts: &[Progress]) {
    let own = node.membership.local_member();
    match find_holder(node, shard).await {
        Ok(Holder::Own(_)) => {
            node.pools.report(&own.instance, own.incarnation, shard, attempts.to_vec());
        }
        Ok(Holder::Peer(client, _)) => {
            let sent =
                client.report_progress(&own.instance, own.incarnation, shard, attempts).await;
            if let Err(error) = sent {
                log::debug!(target: "route", "failed to deliver report for {shard}: {error}");
            }
        }
        Err(error) => log::debug!(target: "route", "no owner found for {shard}: {error}"),
    }
}
