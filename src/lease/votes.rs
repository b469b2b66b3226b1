use std::collections::HashSet;

use crate::lease::Witness;

/// Votes of witnesses on one claim, counted for each set of witnesses.
#[derive(Debug)]
pub(super) struct Votes {
    witness_sets: Vec<Vec<Witness>>,
    agreed: HashSet<Witness>,
}

impl Votes {
    pub fn new(witness_sets: Vec<Vec<Witness>>) -> Votes {
        Votes { witness_sets, agreed: HashSet::new() }
    }

    /// All witnesses without duplicates.
    pub fn voters(&self) -> Vec<Witness> {
        let mut voters: Vec<Witness> = self.witness_sets.iter().flatten().cloned().collect();
        voters.sort();
        voters.dedup();
        voters
    }

    pub fn agree(&mut self, witness: Witness) {
        self.agreed.insert(witness);
    }

    pub fn has_agreed(&self, witness: &Witness) -> bool {
        self.agreed.contains(witness)
    }

    /// Whether a majority of every set agreed.
    pub fn has_majority(&self) -> bool {
        self.witness_sets.iter().all(|set| {
            let votes = set.iter().filter(|w| self.agreed.contains(w)).count();
            2 * votes > set.len()
        })
    }
}
