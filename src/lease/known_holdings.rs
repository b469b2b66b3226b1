use std::collections::BTreeMap;

use crate::lease::Holding;
use crate::units::ShardId;

/// Number of messages (heartbeats and their answers) that carry a change. At about 16 messages a
/// second, every neighbour that an instance has within four seconds receives the change.
const SENDS_PER_CHANGE: u32 = 64;
/// Unchanged holdings in each message, in rotation, for instances that missed a change. New
/// instances request all of them.
const UNCHANGED_PER_MESSAGE: usize = 1;

/// The latest known holder of each shard.
#[derive(Debug, Default)]
pub(super) struct KnownHoldings {
    by_shard: BTreeMap<ShardId, KnownHolding>,
    changes: u64,
    cursor: usize,
}

#[derive(Debug)]
struct KnownHolding {
    change: u64,
    sends_left: u32,
    holding: Holding,
}

impl KnownHoldings {
    pub fn get(&self, shard: &ShardId) -> Option<Holding> {
        self.by_shard.get(shard).map(|known| known.holding.clone())
    }

    pub fn all(&self, max: usize) -> Vec<Holding> {
        self.by_shard.values().take(max).map(|known| known.holding.clone()).collect()
    }

    /// Stores the holding if its fencing token is higher than that of the known one. Returns
    /// whether it was stored.
    pub fn record_holding(&mut self, holding: Holding) -> bool {
        let known = self.by_shard.get(&holding.shard).map(|known| known.holding.fencing);
        if known.is_some_and(|fencing| fencing >= holding.fencing) {
            return false;
        }
        self.changes += 1;
        let shard = holding.shard.clone();
        let known = KnownHolding { change: self.changes, sends_left: SENDS_PER_CHANGE, holding };
        self.by_shard.insert(shard, known);
        true
    }

    /// Returns the latest changes that have not been sent often enough and a few other holdings in
    /// rotation. Sending all holdings in every message would exceed the limit on control traffic
    /// even in an idle fleet.
    pub fn recent(&mut self, max: usize) -> Vec<Holding> {
        let (mut changed, others): (Vec<&mut KnownHolding>, Vec<&mut KnownHolding>) =
            self.by_shard.values_mut().partition(|known| known.sends_left > 0);
        changed.sort_by_key(|known| std::cmp::Reverse(known.change));
        let unchanged_count = UNCHANGED_PER_MESSAGE.min(others.len()).min(max);
        let mut sent: Vec<Holding> = Vec::new();
        for known in changed.into_iter().take(max - unchanged_count) {
            known.sends_left -= 1;
            sent.push(known.holding.clone());
        }
        if !others.is_empty() {
            let start = self.cursor % others.len();
            self.cursor = start + unchanged_count;
            let rotated = others.iter().cycle().skip(start).take(unchanged_count);
            sent.extend(rotated.map(|known| known.holding.clone()));
        }
        sent
    }
}
