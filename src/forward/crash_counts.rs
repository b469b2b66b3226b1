use std::collections::HashMap;

use sha2::{Digest, Sha256};

use crate::balance::IncarnationKey;
use crate::clock::Instant;
use crate::crashes::{EndRecord, EndpointEnd, RequestReport};
use crate::fleet::CrashCount;
use crate::forward::CallerRequest;
use crate::units::Fingerprint;

/// Number of endpoints that have ended under a request from which on it is refused.
const MAX_CRASHES: usize = 3;
/// Time after the last end for which a request is refused, and after which its count is removed.
const CRASH_TTL_MS: u64 = 120_000;
/// Maximum number of counts in one status message to peers.
const MAX_RECENT_COUNTS: usize = 32;

/// Endpoints that have ended while a request ran. A caller may retry the request at any instance under
/// a new attempt id, so requests are identified by key, target and body.
#[derive(Debug, Default)]
pub struct CrashCounts {
    counts: HashMap<Fingerprint, Count>,
}

#[derive(Debug, Default)]
struct Count {
    record: EndRecord,
    /// Lower bound from a peer of an earlier version, which does not name the endpoints.
    at_least: u8,
    /// Time at which the lower bound was last raised.
    raised_at: Instant,
}

impl Count {
    fn crashes(&self) -> usize {
        self.record.unexcused().count().max(usize::from(self.at_least))
    }

    fn last_crash_at(&self) -> Instant {
        self.record.last_ended_at().unwrap_or_default().max(self.raised_at)
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
        self.counts.is_empty()
    }

    /// Returns until when a request is refused.
    pub fn refused_until(&self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        let count = self.counts.get(&fingerprint)?;
        let until = count.last_crash_at().plus_ms(CRASH_TTL_MS);
        (count.crashes() >= MAX_CRASHES && now < until).then_some(until)
    }

    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        process: IncarnationKey,
        now: Instant,
    ) {
        let count = self.counts.entry(fingerprint).or_default();
        count.record.add(EndpointEnd { process, ended_at: now, is_excused: false }, now);
    }

    /// Adds the endpoints that a peer has seen.
    pub fn merge(&mut self, reports: &[RequestReport], now: Instant) {
        for report in reports {
            if report.ends.iter().all(|end| end.age_ms >= CRASH_TTL_MS) {
                continue;
            }
            self.counts.entry(report.fingerprint).or_default().record.merge(&report.ends, now);
        }
    }

    /// Merges the counts of a peer that sends no reports, since its version is an earlier one.
    pub fn merge_counts(&mut self, recent_counts: &[CrashCount], now: Instant) {
        for crash in recent_counts {
            let count = self.counts.entry(Fingerprint(crash.fingerprint)).or_default();
            if usize::from(crash.crashes) > count.crashes() {
                count.at_least = crash.crashes;
                count.raised_at = now;
            }
        }
    }

    /// Returns the most recently changed counts, to be sent to peers of an earlier version.
    pub fn recent_counts(&self) -> Vec<CrashCount> {
        let counts = self.recent().map(|(fingerprint, count)| CrashCount {
            fingerprint: fingerprint.0,
            crashes: u8::try_from(count.crashes()).unwrap_or(u8::MAX),
        });
        counts.collect()
    }

    /// Returns what peers are told.
    pub fn reports(&self, now: Instant) -> Vec<RequestReport> {
        let reports = self.recent().map(|(fingerprint, count)| RequestReport {
            fingerprint: *fingerprint,
            ends: count.record.reports(now),
        });
        reports.collect()
    }

    /// The most recently changed counts.
    fn recent(&self) -> impl Iterator<Item = (&Fingerprint, &Count)> {
        let mut counts: Vec<_> = self.counts.iter().collect();
        counts.sort_by_key(|(fingerprint, count)| {
            std::cmp::Reverse((count.last_crash_at(), **fingerprint))
        });
        counts.into_iter().take(MAX_RECENT_COUNTS)
    }

    /// Drops counts that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.counts.retain(|_, count| now.ms_since(count.last_crash_at()) < CRASH_TTL_MS);
    }
}
