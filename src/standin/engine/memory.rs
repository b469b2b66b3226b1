use std::collections::BTreeMap;

use crate::engine::HeldAttempt;
use crate::units::{AttemptId, Pieces};

/// Stage for which an attempt reserves memory. One engine may run both stages of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUse {
    Prefill,
    Decode,
}

/// KV cache memory of an engine in pieces, with its reservations by attempt and stage.
#[derive(Debug)]
pub struct Memory {
    total: u64,
    reservations: BTreeMap<(AttemptId, MemoryUse), u64>,
}

impl Memory {
    pub fn new(total: u64) -> Memory {
        Memory { total, reservations: BTreeMap::new() }
    }

    pub fn used(&self) -> u64 {
        self.reservations.values().sum()
    }

    /// Reserves memory. Returns false if too little is free or the attempt already has a
    /// reservation for this stage.
    pub fn try_reserve(&mut self, attempt: &AttemptId, memory_use: MemoryUse, pieces: u64) -> bool {
        let key = (attempt.clone(), memory_use);
        if self.reservations.contains_key(&key) || self.used() + pieces > self.total {
            return false;
        }
        self.reservations.insert(key, pieces);
        true
    }

    pub fn free(&mut self, attempt: &AttemptId, memory_use: MemoryUse) {
        self.reservations.remove(&(attempt.clone(), memory_use));
    }

    /// Reserved memory by attempt, over both stages.
    pub fn list(&self) -> Vec<HeldAttempt> {
        let mut list: Vec<HeldAttempt> = Vec::new();
        for ((attempt, _), pieces) in &self.reservations {
            match list.last_mut().filter(|last| last.attempt == *attempt) {
                Some(last) => last.pieces += Pieces(*pieces),
                None => {
                    list.push(HeldAttempt { attempt: attempt.clone(), pieces: Pieces(*pieces) })
                }
            }
        }
        list
    }
}
