use std::collections::HashMap;

use crate::units::{AttemptId, Pieces};

/// Memory and slots reserved on a decode endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occupancy {
    allocations: HashMap<AttemptId, Allocation>,
    used: Pieces,
}

/// Memory reserved for one attempt.
#[derive(Clone, Copy, Debug)]
struct Allocation {
    pieces: Pieces,
    is_suspect: bool,
    is_proven_safe: bool,
}

impl Occupancy {
    pub fn used_pieces(&self) -> Pieces {
        self.used
    }

    pub fn used_slots(&self) -> u32 {
        self.allocations.len() as u32
    }

    /// Number of attempts that are not yet ruled out as the cause of a crash.
    pub fn unproven_count(&self) -> usize {
        self.allocations.values().filter(|charge| !charge.is_proven_safe).count()
    }

    pub fn has_unproven_suspect(&self) -> bool {
        self.allocations.values().any(|charge| charge.is_suspect && !charge.is_proven_safe)
    }

    pub fn mark_proven_safe(&mut self, attempt: &AttemptId) {
        if let Some(charge) = self.allocations.get_mut(attempt) {
            charge.is_proven_safe = true;
        }
    }

    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.allocations.contains_key(attempt)
    }

    pub fn attempts(&self) -> impl Iterator<Item = &AttemptId> {
        self.allocations.keys()
    }

    pub fn add(&mut self, attempt: &AttemptId, pieces: Pieces, is_suspect: bool) {
        self.remove(attempt);
        self.used += pieces;
        let charge = Allocation { pieces, is_suspect, is_proven_safe: false };
        self.allocations.insert(attempt.clone(), charge);
    }

    pub fn remove(&mut self, attempt: &AttemptId) {
        if let Some(charge) = self.allocations.remove(attempt) {
            self.used -= charge.pieces;
        }
    }
}
