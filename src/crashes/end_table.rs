use std::collections::HashMap;
use std::hash::Hash;

use crate::balance::IncarnationKey;
use crate::clock::Instant;
use crate::crashes::{EndRecord, EndReport, EndpointEnd};

/// Maximum number of records, which bounds the memory that an unusual load can take.
const MAX_RECORDS: usize = 1_024;

/// How long records matter, and how many of them peers are told of.
#[derive(Clone, Copy, Debug)]
pub struct EndTableLimits {
    /// Number of moments at which endpoints have ended from which on requests are refused.
    pub min_moments: usize,
    /// Time after the last end at which a record is dropped.
    pub retention_ms: u64,
    /// Time after a change in which peers are told of a record that leads to no refusal.
    pub report_ms: u64,
    /// Maximum number of records in a report to peers.
    pub max_reported: usize,
}

/// Ends of endpoints, by what the requests that ran there have in common.
#[derive(Clone, Debug)]
pub struct EndTable<K> {
    limits: EndTableLimits,
    records: HashMap<K, EndRecord>,
    /// Number of changes so far.
    revision: u64,
}

impl<K: Copy + Eq + Hash + Ord> EndTable<K> {
    pub fn new(limits: EndTableLimits) -> EndTable<K> {
        EndTable { limits, records: HashMap::new(), revision: 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub fn get(&self, key: &K) -> Option<&EndRecord> {
        self.records.get(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&K, &EndRecord)> {
        self.records.iter()
    }

    /// Whether the ends of a record lead to refusals.
    pub fn is_refused(&self, record: &EndRecord) -> bool {
        record.moments() >= self.limits.min_moments
    }

    /// Records the end of an endpoint's process under a request whose answer had not begun.
    pub fn record_end(&mut self, key: K, process: IncarnationKey, now: Instant) {
        let end = EndpointEnd { process, ended_at: now, is_excused: false };
        if self.record(key).add(end, now) {
            self.revision += 1;
        }
    }

    /// Records that an endpoint has begun an answer, which excuses the ends under `key`.
    pub fn record_begun(&mut self, key: &K, now: Instant) {
        if self.records.get_mut(key).is_some_and(|record| record.excuse(now)) {
            self.revision += 1;
        }
    }

    /// Adds what a peer knows.
    pub fn merge(&mut self, key: K, ends: &[EndReport], now: Instant) {
        if ends.iter().all(|end| end.age_ms >= self.limits.retention_ms) {
            return;
        }
        if self.record(key).merge(ends, now) {
            self.revision += 1;
        }
    }

    /// Returns what peers are told: first what leads to refusals, then what has changed lately.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = (K, Vec<EndReport>)> {
        let EndTableLimits { min_moments, report_ms, max_reported, .. } = self.limits;
        let mut reported: Vec<_> = self
            .records
            .iter()
            .map(|(key, record)| (record.moments(), key, record))
            .filter(|(moments, _, record)| {
                *moments >= min_moments || now.ms_since(record.changed_at) < report_ms
            })
            .collect();
        reported.sort_by_key(|(moments, key, record)| {
            std::cmp::Reverse((*moments, record.changed_at, **key))
        });
        let reported = reported.into_iter().take(max_reported);
        reported.map(move |(_, key, record)| (*key, record.reports(now)))
    }

    /// Changes whenever peers should be told at once.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Drops records that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        let retention_ms = self.limits.retention_ms;
        self.records.retain(|_, record| !record.is_expired(retention_ms, now));
    }

    /// The record of a key, which may replace that of another one.
    fn record(&mut self, key: K) -> &mut EndRecord {
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
