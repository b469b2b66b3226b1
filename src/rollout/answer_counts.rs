use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Number of latency buckets. Two buckets double the latency, from 4 ms to 4 s.
pub const LATENCY_BUCKETS: usize = 20;
const FIRST_BUCKET_MS: f64 = 4.0;

/// Outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// `latency_ms` is `None` if it says nothing about the version, as at a cold endpoint.
    Good { latency_ms: Option<u64> },
    /// A server error, a broken or malformed response, or none in time.
    Bad,
}

/// Answers of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    pub good: u32,
    pub bad: u32,
    pub latency: [u32; LATENCY_BUCKETS],
    /// A bit for each endpoint with a bad answer, by a hash of its id.
    pub bad_endpoints: u32,
}

impl AnswerCounts {
    pub fn record(&mut self, kind: AnswerKind, endpoint_key: u32) {
        match kind {
            AnswerKind::Good { latency_ms } => {
                self.good += 1;
                if let Some(latency_ms) = latency_ms {
                    self.latency[bucket(latency_ms)] += 1;
                }
            }
            AnswerKind::Bad => {
                self.bad += 1;
                self.bad_endpoints |= 1 << (endpoint_key % u32::BITS);
            }
        }
    }

    pub fn add(&mut self, other: &AnswerCounts) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        for (sum, more) in self.latency.iter_mut().zip(other.latency) {
            *sum = sum.saturating_add(more);
        }
        self.bad_endpoints |= other.bad_endpoints;
    }

    pub fn total(&self) -> u32 {
        self.good.saturating_add(self.bad)
    }
}

fn bucket(latency_ms: u64) -> usize {
    let octaves = (latency_ms as f64 / FIRST_BUCKET_MS).max(1.0).log2();
    ((octaves * 2.0) as usize).min(LATENCY_BUCKETS - 1)
}

/// Answers of the old and the new version of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    pub old: AnswerCounts,
    pub new: AnswerCounts,
}

impl VersionCounts {
    pub fn add(&mut self, other: &VersionCounts) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    pub fn of(&mut self, is_new: bool) -> &mut AnswerCounts {
        if is_new { &mut self.new } else { &mut self.old }
    }
}

/// Answers by step and route. Both versions are compared within a step only: the new version's
/// share changes between steps, so that a burst in one of them would count more for it.
pub type StepCounts = BTreeMap<(u32, u32), VersionCounts>;
