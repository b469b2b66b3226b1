use std::collections::HashMap;

use crate::clock::Instant;
use crate::units::AttemptId;

/// Estimate of the work that a prefill endpoint has still to do.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillQueue {
    jobs: HashMap<AttemptId, PrefillJob>,
}

/// A prefill that no report has shown as done.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillJob {
    pub ends_at: Instant,
    pub is_long: bool,
    pub is_suspect: bool,
}

impl PrefillQueue {
    /// When the work scheduled so far is expected to end.
    pub fn ends_at(&self, now: Instant) -> Instant {
        self.jobs.values().map(|job| job.ends_at).fold(now, Instant::max)
    }

    /// Jobs that occupy a slot. Only a warm endpoint's estimate is trusted: on a cold one a job
    /// keeps its slot until a report shows that the prefill is done.
    pub fn used_slots(&self, now: Instant, trust_estimate: bool) -> u32 {
        let running = self.jobs.values().filter(|job| !trust_estimate || job.ends_at > now);
        running.count() as u32
    }

    /// Prefills to which the endpoint's death could be put down.
    pub fn unproven_count(&self) -> usize {
        self.jobs.len()
    }

    pub fn has_suspect(&self) -> bool {
        self.jobs.values().any(|job| job.is_suspect)
    }

    pub fn has_long(&self, now: Instant) -> bool {
        self.jobs.values().any(|job| job.is_long && job.ends_at > now)
    }

    pub fn add(&mut self, attempt: &AttemptId, job: PrefillJob) {
        self.jobs.insert(attempt.clone(), job);
    }

    pub fn remove(&mut self, attempt: &AttemptId) -> Option<PrefillJob> {
        self.jobs.remove(attempt)
    }
}
