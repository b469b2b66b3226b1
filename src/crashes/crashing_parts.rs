use std::collections::HashMap;

use crate::balance::IncarnationKey;
use crate::clock::Instant;
use crate::crashes::{EndRecord, EndpointEnd, PartKey, PartReport};

/// Number of moments at which endpoints have ended from which on requests are refused.
const MIN_MOMENTS: usize = 3;
/// Time for which requests are refused after the last end. One that comes later is sent, in case
/// something else was the cause after all, and renews the refusal if an endpoint ends again.
const REFUSED_MS: u64 = 120_000;
/// Time after the last end at which a record is dropped.
const RETENTION_MS: u64 = 600_000;
/// Time after a change in which peers are told of a record that leads to no refusal.
const REPORT_MS: u64 = 10_000;
/// Maximum number of records in a report to peers.
const MAX_REPORTED: usize = 16;
const MAX_RECORDS: usize = 1_024;

/// Parts of prompts under which endpoints have ended, at any instance.
#[derive(Clone, Debug, Default)]
pub struct CrashingParts {
    records: HashMap<PartKey, EndRecord>,
    /// Number of changes so far.
    revision: u64,
}

impl CrashingParts {
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records the end of an endpoint's process under a request whose answer had not begun.
    pub fn record_end(&mut self, parts: &[PartKey], process: IncarnationKey, now: Instant) {
        for key in parts {
            let end = EndpointEnd { process, ended_at: now, is_excused: false };
            if self.record(*key).add(end, now) {
                self.revision += 1;
            }
        }
    }

    /// Records that an endpoint has begun an answer, which excuses all parts of the request.
    pub fn record_begun(&mut self, parts: impl Iterator<Item = PartKey>, now: Instant) {
        for key in parts {
            if self.records.get_mut(&key).is_some_and(|record| record.excuse(now)) {
                self.revision += 1;
            }
        }
    }

    /// Returns until when a request with these parts is refused.
    pub fn refused_until(
        &self,
        parts: impl Iterator<Item = PartKey> + Clone,
        now: Instant,
    ) -> Option<Instant> {
        let causes = parts.clone().filter(|key| self.is_cause(*key, parts.clone()));
        let until = causes.filter_map(|key| self.records.get(&key)?.last_ended_at());
        let until = until.max()?.plus_ms(REFUSED_MS);
        (now < until).then_some(until)
    }

    /// Returns whether a part explains why endpoints ended under requests with these parts. Parts that
    /// have only been sent together cannot be told apart: all of them have to be there. A part is no
    /// cause if another one explains the same ends and more.
    fn is_cause(&self, key: PartKey, parts: impl Iterator<Item = PartKey> + Clone) -> bool {
        let Some(record) = self.records.get(&key) else { return false };
        if record.moments() < MIN_MOMENTS {
            return false;
        }
        let count = record.unexcused().count();
        self.records.iter().filter(|(other, _)| **other != key).all(|(other, other_record)| {
            let mut common = other_record.unexcused();
            let explains_all = record.unexcused().all(|process| common.any(|end| end == process));
            let is_same_set = explains_all && other_record.unexcused().count() == count;
            !explains_all || (is_same_set && parts.clone().any(|part| part == *other))
        })
    }

    /// Adds what a peer knows.
    pub fn merge(&mut self, reports: &[PartReport], now: Instant) {
        for report in reports {
            if report.ends.iter().all(|end| end.age_ms >= RETENTION_MS) {
                continue;
            }
            if self.record(report.key).merge(&report.ends, now) {
                self.revision += 1;
            }
        }
    }

    /// Returns what peers are told: first what leads to refusals, then what has changed lately.
    pub fn reports(&self, now: Instant) -> Vec<PartReport> {
        let mut reported: Vec<_> = self
            .records
            .iter()
            .map(|(key, record)| (record.moments(), key, record))
            .filter(|(moments, _, record)| {
                *moments >= MIN_MOMENTS || now.ms_since(record.changed_at) < REPORT_MS
            })
            .collect();
        reported.sort_by_key(|(moments, key, record)| {
            std::cmp::Reverse((*moments, record.changed_at, **key))
        });
        let reported = reported.into_iter().take(MAX_REPORTED);
        reported
            .map(|(_, key, record)| PartReport { key: *key, ends: record.reports(now) })
            .collect()
    }

    /// Changes whenever peers should be told at once.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Drops records that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| !record.is_expired(RETENTION_MS, now));
    }

    /// The record of a part, which may replace that of another one.
    fn record(&mut self, key: PartKey) -> &mut EndRecord {
        if !self.records.contains_key(&key) && self.records.len() >= MAX_RECORDS {
            self.remove_oldest();
        }
        self.records.entry(key).or_default()
    }

    fn remove_oldest(&mut self) {
        let keys =
            self.records.iter().map(|(key, record)| (record.moments(), record.changed_at, *key));
        if let Some((_, _, key)) = keys.min() {
            self.records.remove(&key);
        }
    }
}
