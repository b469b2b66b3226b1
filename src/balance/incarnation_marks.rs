use std::collections::HashMap;

use crate::balance::IncarnationKey;
use crate::clock::Instant;

/// Time for which peers are told of a leaving endpoint after this instance has learned of it.
const REPORT_MS: u64 = 5_000;
/// Time after which a mark is dropped. An endpoint stops within seconds of its notice; its entry in
/// the store may outlive it by the length of an outage.
const RETENTION_MS: u64 = 600_000;

/// What endpoints have said of themselves in responses: that they are leaving, or until when they
/// want no requests. Kept by process run, so that it outlives an endpoint's entry in the store and
/// does not apply to the next process.
#[derive(Clone, Debug, Default)]
pub struct IncarnationMarks {
    leaving: HashMap<IncarnationKey, LeavingMark>,
    paused_until: HashMap<IncarnationKey, Instant>,
}

#[derive(Clone, Copy, Debug)]
struct LeavingMark {
    report_until: Instant,
    expires_at: Instant,
}

impl IncarnationMarks {
    /// Records a notice that this instance has received. Returns whether it is new.
    pub fn record_leaving(&mut self, key: IncarnationKey, now: Instant) -> bool {
        self.insert_leaving(key, now.plus_ms(REPORT_MS), now)
    }

    /// Records a notice that a peer has received. Returns whether it is new. It is not passed on,
    /// since the peer tells everyone.
    pub fn record_peer_leaving(&mut self, key: IncarnationKey, now: Instant) -> bool {
        self.insert_leaving(key, now, now)
    }

    fn insert_leaving(&mut self, key: IncarnationKey, report_until: Instant, now: Instant) -> bool {
        if self.leaving.contains_key(&key) {
            return false;
        }
        self.leaving.retain(|_, mark| now < mark.expires_at);
        let expires_at = now.plus_ms(RETENTION_MS);
        self.leaving.insert(key, LeavingMark { report_until, expires_at });
        true
    }

    pub fn is_leaving(&self, key: &IncarnationKey) -> bool {
        self.leaving.contains_key(key)
    }

    pub fn leaving_count(&self) -> usize {
        self.leaving.len()
    }

    /// Records until when an endpoint wants no requests. The latest end holds.
    pub fn record_pause(&mut self, key: IncarnationKey, until: Instant, now: Instant) {
        self.paused_until.retain(|_, until| now < *until);
        let known = self.paused_until.entry(key).or_default();
        *known = until.max(*known);
    }

    /// Returns until when an endpoint wants no requests; in the past if it accepts them.
    pub fn paused_until(&self, key: &IncarnationKey) -> Instant {
        self.paused_until.get(key).copied().unwrap_or_default()
    }

    /// Leaving endpoints to tell peers of.
    pub fn reported_leaving(&self, now: Instant) -> Vec<IncarnationKey> {
        let reported = self.leaving.iter().filter(|(_, mark)| now < mark.report_until);
        reported.map(|(key, _)| *key).collect()
    }

    /// Reports all marks again because a peer has started, which knows none of them.
    pub fn report_all(&mut self, now: Instant) {
        for mark in self.leaving.values_mut() {
            mark.report_until = now.plus_ms(REPORT_MS);
        }
    }
}
