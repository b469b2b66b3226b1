use std::collections::HashMap;

use crate::units::{AttemptId, Pieces};

/// Memory and slots reserved on a decode endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occupancy {
    charges: HashMap<AttemptId, Charge>,
    used: Pieces,
}

#[derive(Clone, Copy, Debug)]
struct Charge {
    pieces: Pieces,
    is_suspect: bool,
    is_proven: bool,
}

impl Occupancy {
    pub fn used_pieces(&self) -> Pieces {
        self.used
    }

    pub fn used_slots(&self) -> u32 {
        self.charges.len() as u32
    }

    /// Attempts to which the endpoint's death could be put down.
    pub fn unproven(&self) -> usize {
        self.charges.values().filter(|charge| !charge.is_proven).count()
    }

    pub fn has_unproven_suspect(&self) -> bool {
        self.charges.values().any(|charge| charge.is_suspect && !charge.is_proven)
    }

    pub fn note_proven(&mut self, attempt: &AttemptId) {
        if let Some(charge) = self.charges.get_mut(attempt) {
            charge.is_proven = true;
        }
    }

    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.charges.contains_key(attempt)
    }

    pub fn attempts(&self) -> impl Iterator<Item = &AttemptId> {
        self.charges.keys()
    }

    pub fn add(&mut self, attempt: &AttemptId, pieces: Pieces, is_suspect: bool) {
        self.remove(attempt);
        self.used += pieces;
        let charge = Charge { pieces, is_suspect, is_proven: false };
        self.charges.insert(attempt.clone(), charge);
    }

    pub fn remove(&mut self, attempt: &AttemptId) {
        if let Some(charge) = self.charges.remove(attempt) {
            self.used -= charge.pieces;
        }
    }
}
