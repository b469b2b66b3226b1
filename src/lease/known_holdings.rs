use std::collections::BTreeMap;

use crate::lease::Holding;
use crate::units::ShardId;

/// The newest known holder of each shard.
#[derive(Debug, Default)]
pub(super) struct KnownHoldings {
    by_shard: BTreeMap<ShardId, (u64, Holding)>,
    changes: u64,
    cursor: usize,
}

impl KnownHoldings {
    pub fn get(&self, shard: &ShardId) -> Option<Holding> {
        self.by_shard.get(shard).map(|(_, holding)| holding.clone())
    }

    /// True if the holding is newer than the known one.
    pub fn learn(&mut self, holding: Holding) -> bool {
        let known = self.by_shard.get(&holding.shard).map(|(_, known)| known.fencing);
        if known.is_some_and(|fencing| fencing >= holding.fencing) {
            return false;
        }
        self.changes += 1;
        self.by_shard.insert(holding.shard.clone(), (self.changes, holding));
        true
    }

    /// Half of the places go to the newest changes; the others rotate over all shards, so that an
    /// instance that missed a change learns it too.
    pub fn recent(&mut self, max: usize) -> Vec<Holding> {
        let mut entries: Vec<&(u64, Holding)> = self.by_shard.values().collect();
        entries.sort_by_key(|(change, _)| std::cmp::Reverse(*change));
        let all = entries.len();
        if all <= max {
            return entries.into_iter().map(|(_, holding)| holding.clone()).collect();
        }
        let (newest, others) = entries.split_at(max - max / 2);
        let places = (max / 2).min(others.len());
        let start = self.cursor % others.len();
        self.cursor = start + places;
        let rotated = others.iter().cycle().skip(start).take(places);
        newest.iter().chain(rotated).map(|(_, holding)| holding.clone()).collect()
    }
}
