use crate::balance::IncarnationKey;
use crate::clock::Instant;
use crate::crashes::{EndReport, EndpointEnd};

/// Maximum number of ends that are kept.
const MAX_ENDS: usize = 12;
/// Ends that are closer together have one cause, such as the loss of a rack, which says nothing of
/// the requests that ran there.
const MIN_SEPARATION_MS: u64 = 100;

/// Ends of endpoints under one request or one part of a prompt. Merging records in any order gives the
/// same ends, so that each instance adds up those that all of them have seen.
#[derive(Clone, Debug, Default)]
pub struct EndRecord {
    /// In the order of the processes' keys.
    ends: Vec<EndpointEnd>,
    /// Time of the last change.
    pub changed_at: Instant,
}

impl EndRecord {
    /// Adds an end unless it is known. Returns whether anything changed.
    pub fn add(&mut self, end: EndpointEnd, now: Instant) -> bool {
        let sort_key = |process: &IncarnationKey| (process.endpoint_key, process.started_unix_ms);
        let found = self
            .ends
            .binary_search_by_key(&sort_key(&end.process), |known| sort_key(&known.process));
        let has_changed = match found {
            Ok(at) => {
                let known = &mut self.ends[at];
                known.ended_at = known.ended_at.min(end.ended_at);
                let is_newly_excused = end.is_excused && !known.is_excused;
                known.is_excused |= end.is_excused;
                is_newly_excused
            }
            Err(at) => {
                self.ends.insert(at, end);
                self.ends.len() <= MAX_ENDS || self.drop_end_other_than(&end)
            }
        };
        if has_changed {
            self.changed_at = now;
        }
        has_changed
    }

    /// Drops the oldest excused end, or else the end that was just added. Returns whether it was another
    /// one.
    fn drop_end_other_than(&mut self, added: &EndpointEnd) -> bool {
        let excused = self.ends.iter().filter(|end| end.is_excused);
        let oldest = excused.min_by_key(|end| end.ended_at).unwrap_or(added).process;
        self.ends.retain(|end| end.process != oldest);
        oldest != added.process
    }

    /// Whether nothing has ended for `retention_ms`. Depends on the ends alone: instances that dropped a
    /// record at different times would otherwise get it back from each other without end.
    pub fn is_expired(&self, retention_ms: u64, now: Instant) -> bool {
        self.ends.iter().all(|end| now.ms_since(end.ended_at) >= retention_ms)
    }

    /// Adds what a peer knows. Returns whether anything changed.
    pub fn merge(&mut self, reports: &[EndReport], now: Instant) -> bool {
        let mut has_changed = false;
        for EndReport { process, age_ms, is_excused } in reports.iter().copied() {
            let ended_at = Instant::from_ms(now.as_ms().saturating_sub(age_ms));
            has_changed |= self.add(EndpointEnd { process, ended_at, is_excused }, now);
        }
        has_changed
    }

    /// Excuses all ends because an answer has begun. Returns whether anything changed.
    pub fn excuse(&mut self, now: Instant) -> bool {
        let has_changed = self.ends.iter().any(|end| !end.is_excused);
        if has_changed {
            self.ends.iter_mut().for_each(|end| end.is_excused = true);
            self.changed_at = now;
        }
        has_changed
    }

    /// Processes whose end nothing has excused, in the order of their keys.
    pub fn unexcused(&self) -> impl Iterator<Item = IncarnationKey> + Clone + '_ {
        self.ends.iter().filter(|end| !end.is_excused).map(|end| end.process)
    }

    /// Number of moments at which endpoints have ended and nothing has excused it.
    pub fn moments(&self) -> usize {
        let unexcused = self.ends.iter().filter(|end| !end.is_excused);
        let mut times: Vec<Instant> = unexcused.map(|end| end.ended_at).collect();
        times.sort_unstable();
        let mut moments = 0;
        let mut counted_at: Option<Instant> = None;
        for at in times {
            if counted_at.is_none_or(|counted| at.ms_since(counted) >= MIN_SEPARATION_MS) {
                moments += 1;
                counted_at = Some(at);
            }
        }
        moments
    }

    /// Time of the last end that nothing has excused.
    pub fn last_ended_at(&self) -> Option<Instant> {
        let unexcused = self.ends.iter().filter(|end| !end.is_excused);
        unexcused.map(|end| end.ended_at).max()
    }

    pub fn reports(&self, now: Instant) -> Vec<EndReport> {
        let report = |end: &EndpointEnd| EndReport {
            process: end.process,
            age_ms: now.ms_since(end.ended_at),
            is_excused: end.is_excused,
        };
        self.ends.iter().map(report).collect()
    }
}
