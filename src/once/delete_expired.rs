use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::clock::{Clock, Instant, unix_time_s};
use crate::gateway::{BUDGET_SHARDS, Node, budget_shard};
use crate::once::{ClaimRow, ExpirySweep, SweepProgress};
use crate::units::ShardId;

/// Interval between batches of a shard. All 16 shards together read and delete at most 64 rows a
/// second, compared with about 1,200 reads and 172 writes a second for the leases and the
/// configuration.
const BATCH_PERIOD: Duration = Duration::from_millis(1_000);
/// Shards move between instances often while a fleet starts, and no row expires that soon.
const FIRST_SWEEP_DELAY_MS: u64 = 60_000;
const SWEEP_PAUSE_MS: u64 = 600_000;

/// Sweep of one held shard and the time of its next batch.
struct ShardSweep {
    sweep: ExpirySweep,
    next_at: Instant,
}

/// Deletes expired claim rows of the shards that this instance holds.
pub async fn delete_expired(node: Rc<Node>) {
    let (started_unix_s, started_at) = (unix_time_s(), node.clock.now());
    let mut sweeps: BTreeMap<ShardId, ShardSweep> = BTreeMap::new();
    loop {
        tokio::time::sleep(BATCH_PERIOD).await;
        for shard in (0..BUDGET_SHARDS).map(ShardId::Budget) {
            if node.leases.held(&shard).is_none() {
                sweeps.remove(&shard);
                continue;
            }
            let now = node.clock.now();
            let shard_sweep = sweeps.entry(shard.clone()).or_insert_with(|| ShardSweep {
                sweep: ExpirySweep::new(shard.clone(), random_start_key(&node, &shard)),
                next_at: now.plus_ms(FIRST_SWEEP_DELAY_MS),
            });
            if shard_sweep.next_at > now {
                continue;
            }
            // A forward jump of the wall clock must not make rows look older.
            let elapsed_s = now.ms_since(started_at) / 1000;
            let now_unix_s = unix_time_s().min(started_unix_s + elapsed_s);
            let is_holder = || node.leases.held(&shard).is_some();
            match shard_sweep.sweep.run_batch(&node.platform, now_unix_s, is_holder).await {
                Ok(SweepProgress::AtEnd) => shard_sweep.next_at = now.plus_ms(SWEEP_PAUSE_MS),
                Ok(SweepProgress::Deleted(0)) => {}
                Ok(SweepProgress::Deleted(count)) => {
                    log::debug!(target: "once", "deleted {count} expired rows of {shard}");
                }
                Err(error) => {
                    log::debug!(target: "once", "cannot delete expired rows of {shard}: {error}");
                    break;
                }
            }
        }
    }
}

/// A random start key within the shard's rows. A sweep of many rows takes longer than a shard stays
/// with one holder; if each holder started at the first row, the last rows would never be reached.
fn random_start_key(node: &Node, shard: &ShardId) -> String {
    let current = node.configuration.current();
    let organisations = current.document.organisations.keys();
    let own = organisations.filter(|organisation| budget_shard(organisation) == *shard);
    let organisation = own.choose(&mut rand::rng());
    let random_key = rand::random::<u64>().to_string();
    organisation.map(|name| ClaimRow::table_key(name, &random_key)).unwrap_or_default()
}
