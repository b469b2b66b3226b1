use std::collections::BTreeMap;

use crate::engine::HeldAttempt;
use crate::units::{AttemptId, Pieces};

/// What an attempt holds memory for. One engine can run both steps of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    Prefill,
    Decode,
}

/// The engine's memory and who holds it.
#[derive(Debug)]
pub struct Memory {
    total: u64,
    held: BTreeMap<(AttemptId, Use), u64>,
}

impl Memory {
    pub fn new(total: u64) -> Memory {
        Memory { total, held: BTreeMap::new() }
    }

    pub fn used(&self) -> u64 {
        self.held.values().sum()
    }

    /// Reserves memory unless it is full or the attempt holds memory for this use already.
    pub fn hold(&mut self, attempt: &AttemptId, purpose: Use, pieces: u64) -> bool {
        let key = (attempt.clone(), purpose);
        if self.held.contains_key(&key) || self.used() + pieces > self.total {
            return false;
        }
        self.held.insert(key, pieces);
        true
    }

    pub fn free(&mut self, attempt: &AttemptId, purpose: Use) {
        self.held.remove(&(attempt.clone(), purpose));
    }

    pub fn list(&self) -> Vec<HeldAttempt> {
        let mut list: Vec<HeldAttempt> = Vec::new();
        for ((attempt, _), pieces) in &self.held {
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
