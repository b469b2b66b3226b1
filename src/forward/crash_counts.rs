use std::collections::HashMap;

use sha2::{Digest, Sha256};

use crate::balance::IncarnationKey;
use crate::clock::Instant;
use crate::crashes::{EndTable, EndTableLimits, RequestReport};
use crate::fleet::CrashCount;
use crate::forward::CallerRequest;
use crate::units::Fingerprint;

/// Number of moments at which endpoints have ended under a request from which on it is refused.
const MAX_CRASHES: usize = 3;
/// Time after the last end for which a request is refused, and after which its count is removed.
const CRASH_TTL_MS: u64 = 120_000;
/// Maximum number of counts in one status message to peers.
const MAX_RECENT_COUNTS: usize = 32;
/// Peers are told of all counts, because an instance that has just started knows none of them.
const LIMITS: EndTableLimits = EndTableLimits {
    min_moments: MAX_CRASHES,
    retention_ms: CRASH_TTL_MS,
    report_ms: CRASH_TTL_MS,
    max_reported: MAX_RECENT_COUNTS,
};

/// Endpoints that have ended while a request ran. A caller may retry the request at any instance under
/// a new attempt id, so requests are identified by key, target and body.
#[derive(Debug)]
pub struct CrashCounts {
    table: EndTable<Fingerprint>,
    /// Counts from peers of an earlier version, which do not name the endpoints.
    lower_bounds: HashMap<Fingerprint, LowerBound>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LowerBound {
    crashes: u8,
    /// Time at which the count was last raised.
    raised_at: Instant,
}

impl Default for CrashCounts {
    fn default() -> CrashCounts {
        CrashCounts { table: EndTable::new(LIMITS), lower_bounds: HashMap::new() }
    }
}

impl CrashCounts {
    pub fn fingerprint(request: &CallerRequest) -> Fingerprint {
        let mut hasher = Sha256::new();
        let key = request.key.as_deref().unwrap_or_default();
        for part in [key.as_bytes(), request.target.as_bytes(), &request.body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let mut head = [0; 8];
        head.copy_from_slice(&digest[..8]);
        Fingerprint(u64::from_be_bytes(head))
    }

    /// Returns whether there are no counts, in which case callers can skip the fingerprint.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty() && self.lower_bounds.is_empty()
    }

    /// Returns until when a request is refused.
    pub fn refused_until(&self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        let until = self.last_crash_at(fingerprint).plus_ms(CRASH_TTL_MS);
        (self.crashes(fingerprint) >= MAX_CRASHES && now < until).then_some(until)
    }

    fn crashes(&self, fingerprint: Fingerprint) -> usize {
        let moments = self.table.get(&fingerprint).map_or(0, |record| record.moments());
        let lower_bound = self.lower_bounds.get(&fingerprint).map_or(0, |bound| bound.crashes);
        moments.max(usize::from(lower_bound))
    }

    fn last_crash_at(&self, fingerprint: Fingerprint) -> Instant {
        let record = self.table.get(&fingerprint);
        let ended_at = record.and_then(|record| record.last_ended_at()).unwrap_or_default();
        let bound = self.lower_bounds.get(&fingerprint).copied().unwrap_or_default();
        ended_at.max(bound.raised_at)
    }

    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        process: IncarnationKey,
        now: Instant,
    ) {
        self.table.record_end(fingerprint, process, now);
    }

    /// Records that an endpoint has begun the answer to a request, so that something else than the
    /// request has ended the endpoints before.
    pub fn record_begun(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.table.record_begun(&fingerprint, now);
        self.lower_bounds.remove(&fingerprint);
    }

    /// Adds the endpoints that a peer has seen.
    pub fn merge(&mut self, reports: &[RequestReport], now: Instant) {
        for report in reports {
            self.table.merge(report.fingerprint, &report.ends, now);
        }
    }

    /// Merges the counts of a peer that sends no reports, since its version is an earlier one.
    pub fn merge_counts(&mut self, recent_counts: &[CrashCount], now: Instant) {
        for crash in recent_counts {
            let fingerprint = Fingerprint(crash.fingerprint);
            if usize::from(crash.crashes) > self.crashes(fingerprint) {
                let bound = LowerBound { crashes: crash.crashes, raised_at: now };
                self.lower_bounds.insert(fingerprint, bound);
            }
        }
    }

    /// Returns the counts of the latest crashes, to be sent to peers of an earlier version.
    pub fn recent_counts(&self) -> Vec<CrashCount> {
        let recorded = self.table.iter().map(|(fingerprint, _)| *fingerprint);
        let mut counts: Vec<(Instant, Fingerprint)> = recorded
            .chain(self.lower_bounds.keys().copied())
            .filter(|fingerprint| self.crashes(*fingerprint) > 0)
            .map(|fingerprint| (self.last_crash_at(fingerprint), fingerprint))
            .collect();
        counts.sort_by_key(|count| std::cmp::Reverse(*count));
        counts.dedup();
        let counts = counts.into_iter().take(MAX_RECENT_COUNTS).map(|(_, fingerprint)| {
            let crashes = u8::try_from(self.crashes(fingerprint)).unwrap_or(u8::MAX);
            CrashCount { fingerprint: fingerprint.0, crashes }
        });
        counts.collect()
    }

    /// Returns what peers are told.
    pub fn reports(&self, now: Instant) -> Vec<RequestReport> {
        let reports = self.table.reports(now);
        reports.map(|(fingerprint, ends)| RequestReport { fingerprint, ends }).collect()
    }

    /// Drops counts that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.table.expire(now);
        self.lower_bounds.retain(|_, bound| now.ms_since(bound.raised_at) < CRASH_TTL_MS);
    }
}
