use std::collections::BTreeMap;

use crate::admission::{ClassReport, Rank};

/// Demand of one or more ranks over all instances, in tokens of KV cache memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassDemand {
    pub waiting_tokens: f64,
    pub offered_tokens_per_s: f64,
    pub admitted_tokens_per_s: f64,
    pub refused_tokens_per_s: f64,
}

impl ClassDemand {
    fn add(&mut self, other: &ClassDemand) {
        self.waiting_tokens += other.waiting_tokens;
        self.offered_tokens_per_s += other.offered_tokens_per_s;
        self.admitted_tokens_per_s += other.admitted_tokens_per_s;
        self.refused_tokens_per_s += other.refused_tokens_per_s;
    }
}

impl From<&ClassReport> for ClassDemand {
    fn from(report: &ClassReport) -> ClassDemand {
        ClassDemand {
            waiting_tokens: f64::from(report.waiting_tokens),
            offered_tokens_per_s: f64::from(report.offered_tokens_per_s),
            admitted_tokens_per_s: f64::from(report.admitted_tokens_per_s),
            refused_tokens_per_s: f64::from(report.refused_tokens_per_s),
        }
    }
}

/// Demand for a service by rank.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    classes: BTreeMap<Rank, ClassDemand>,
}

impl ServiceDemand {
    pub fn add(&mut self, report: &ClassReport) {
        self.classes.entry(report.rank).or_default().add(&ClassDemand::from(report));
    }

    /// Demand of all ranks that are more urgent.
    pub fn more_urgent(&self, rank: Rank) -> ClassDemand {
        Self::sum(self.classes.range(..rank).map(|(_, class)| class))
    }

    /// Demand of the rank and of all that are more urgent.
    pub fn up_to(&self, rank: Rank) -> ClassDemand {
        Self::sum(self.classes.range(..=rank).map(|(_, class)| class))
    }

    pub fn all(&self) -> ClassDemand {
        Self::sum(self.classes.values())
    }

    fn sum<'a>(classes: impl Iterator<Item = &'a ClassDemand>) -> ClassDemand {
        classes.fold(ClassDemand::default(), |mut sum, class| {
            sum.add(class);
            sum
        })
    }
}
