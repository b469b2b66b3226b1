use std::cell::RefCell;
use std::collections::HashMap;

use crate::units::ShardId;

/// Free decode slots of each pool, as last reported by its owner. Used to choose between slices.
#[derive(Debug, Default)]
pub struct FreeSlots {
    slots: RefCell<HashMap<ShardId, u32>>,
}

impl FreeSlots {
    pub fn update(&self, shard: &ShardId, free_slots: u32) {
        self.slots.borrow_mut().insert(shard.clone(), free_slots);
    }

    /// Sorts by free slots, most first. Pools without a report come first, so that each is tried.
    pub fn sort(&self, shards: &mut [ShardId]) {
        let slots = self.slots.borrow();
        shards
            .sort_by_key(|shard| std::cmp::Reverse(slots.get(shard).copied().unwrap_or(u32::MAX)));
    }
}
