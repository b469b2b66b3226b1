use crate::balance::IncarnationKey;
use crate::clock::Instant;
use crate::crashes::{EndTable, EndTableLimits, PartKey, PartReport};

/// Time for which requests are refused after the last end. One that comes later is sent, in case
/// something else was the cause after all, and renews the refusal if an endpoint ends again.
const REFUSED_MS: u64 = 120_000;
const LIMITS: EndTableLimits =
    EndTableLimits { min_moments: 3, retention_ms: 600_000, report_ms: 10_000, max_reported: 16 };

/// Parts of prompts under which endpoints have ended, at any instance.
#[derive(Clone, Debug)]
pub struct CrashingParts {
    table: EndTable<PartKey>,
}

impl Default for CrashingParts {
    fn default() -> CrashingParts {
        CrashingParts { table: EndTable::new(LIMITS) }
    }
}

impl CrashingParts {
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Records the end of an endpoint's process under a request whose answer had not begun.
    pub fn record_end(&mut self, parts: &[PartKey], process: IncarnationKey, now: Instant) {
        for key in parts {
            self.table.record_end(*key, process, now);
        }
    }

    /// Records that an endpoint has begun an answer, which excuses all parts of the request.
    pub fn record_begun(&mut self, parts: impl Iterator<Item = PartKey>, now: Instant) {
        for key in parts {
            self.table.record_begun(&key, now);
        }
    }

    /// Returns until when a request with these parts is refused.
    pub fn refused_until(
        &self,
        parts: impl Iterator<Item = PartKey> + Clone,
        now: Instant,
    ) -> Option<Instant> {
        let causes = parts.clone().filter(|key| self.is_cause(*key, parts.clone()));
        let until = causes.filter_map(|key| self.table.get(&key)?.last_ended_at());
        let until = until.max()?.plus_ms(REFUSED_MS);
        (now < until).then_some(until)
    }

    /// Returns whether a part explains why endpoints ended under requests with these parts. Parts that
    /// have only been sent together cannot be told apart: all of them have to be there. A part is no
    /// cause if another one explains the same ends and more.
    fn is_cause(&self, key: PartKey, parts: impl Iterator<Item = PartKey> + Clone) -> bool {
        let Some(record) = self.table.get(&key) else { return false };
        if !self.table.is_refused(record) {
            return false;
        }
        let count = record.unexcused().count();
        self.table.iter().filter(|(other, _)| **other != key).all(|(other, other_record)| {
            let mut common = other_record.unexcused();
            let explains_all = record.unexcused().all(|process| common.any(|end| end == process));
            let is_same_set = explains_all && other_record.unexcused().count() == count;
            !explains_all || (is_same_set && parts.clone().any(|part| part == *other))
        })
    }

    /// Adds what a peer knows.
    pub fn merge(&mut self, reports: &[PartReport], now: Instant) {
        for report in reports {
            self.table.merge(report.key, &report.ends, now);
        }
    }

    /// Returns what peers are told.
    pub fn reports(&self, now: Instant) -> Vec<PartReport> {
        self.table.reports(now).map(|(key, ends)| PartReport { key, ends }).collect()
    }

    /// Changes whenever peers should be told at once.
    pub fn revision(&self) -> u64 {
        self.table.revision()
    }

    /// Drops records that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.table.expire(now);
    }
}
