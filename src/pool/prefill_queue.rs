use std::collections::HashMap;

use crate::clock::Instant;
use crate::units::AttemptId;

/// Estimated outstanding work of a prefill endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillQueue {
    jobs: HashMap<AttemptId, PrefillJob>,
}

/// A prefill that has not been reported as done.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillJob {
    pub ends_at: Instant,
    pub is_long: bool,
    pub is_suspect: bool,
}

impl PrefillQueue {
    /// Returns when the scheduled work is expected to end.
    pub fn ends_at(&self, now: Instant) -> Instant {
        self.jobs.values().map(|job| job.ends_at).fold(now, Instant::max)
    }

    /// Returns the number of jobs that occupy a slot. The estimate is used only for warm endpoints:
    /// on a cold endpoint, a job keeps its slot until a report shows that its prefill is done.
    pub fn used_slots(&self, now: Instant, trust_estimate: bool) -> u32 {
        let running = self.jobs.values().filter(|job| !trust_estimate || job.ends_at > now);
        running.count() as u32
    }

    /// Number of prefills that are not yet ruled out as the cause of a crash.
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
