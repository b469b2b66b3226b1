use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use crate::clock::{Clock, Instant};
use crate::suspect::{InterruptedRequest, SuspectRecord};
use crate::units::{Fingerprint, Tokens};

/// Suspects that this instance knows of: requests that were running on an endpoint when it crashed.
#[derive(Debug)]
pub struct Suspects<C> {
    clock: C,
    entries: RefCell<HashMap<Fingerprint, Entry>>,
    /// Fingerprint of the last record that was sent in rotation.
    cursor: Cell<Fingerprint>,
}

/// Crash count of one request.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    crashes: u32,
    output_tokens: Tokens,
    expiry: Instant,
    updated_at: Instant,
}

impl<C: Clock> Suspects<C> {
    /// A record expires ten minutes after the last crash.
    pub const LIFETIME_MS: u64 = 600_000;
    /// Requests with this many crashes are rejected.
    pub const REFUSED_CRASHES: u32 = 2;
    /// Output tokens after which a request is ruled out as the cause of a decode endpoint's crash.
    /// Engines crash at the KV import or within the first steps. At 64 ms between tokens this takes
    /// half a second.
    const PROOF_TOKENS: Tokens = Tokens(8);
    /// Minimum extension by a received record. A copy that was only delayed does not extend the
    /// expiry. Otherwise records that circulate between instances would never expire.
    const MIN_EXTENSION_MS: u64 = 10_000;
    const MAX_ENTRIES: usize = 10_000;
    /// Records are sent in every heartbeat for this long after a change, then in rotation. This is
    /// a time rather than a number of messages, because a crash is sent to all connected peers at
    /// once.
    const BROADCAST_MS: u64 = 4_000;
    /// Number of older records in each heartbeat, for instances that missed them.
    const ROTATING_PER_BATCH: usize = 1;

    pub fn new(clock: C) -> Suspects<C> {
        Suspects { clock, entries: RefCell::default(), cursor: Cell::new(Fingerprint(0)) }
    }

    /// Returns the number of endpoints that crashed while running the request.
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        self.find(fingerprint).map_or(0, |entry| entry.crashes)
    }

    /// Whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        let now = self.clock.now();
        !self.entries.borrow().values().any(|entry| entry.expiry > now)
    }

    /// Returns the number of output tokens from which on a request that resumes at `first_index` is
    /// ruled out as the cause of a crash. A suspect has to get past the output at which an endpoint
    /// crashed.
    pub fn proof_tokens(&self, fingerprint: Fingerprint, first_index: Tokens) -> Tokens {
        let crash_output = self.find(fingerprint).map_or(Tokens(0), |entry| entry.output_tokens);
        crash_output.max(first_index) + Self::PROOF_TOKENS
    }

    fn find(&self, fingerprint: Fingerprint) -> Option<Entry> {
        let now = self.clock.now();
        self.entries.borrow().get(&fingerprint).copied().filter(|entry| entry.expiry > now)
    }

    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.crashes(fingerprint) >= Self::REFUSED_CRASHES
    }

    /// Records the requests that were running on an endpoint when it crashed. If exactly one of
    /// them was not ruled out and it was a suspect, only its count increases. Otherwise all of them
    /// become suspects.
    pub fn record_crash(&self, interrupted: &[InterruptedRequest]) {
        let updated_at = self.clock.now();
        let expiry = updated_at.plus_ms(Self::LIFETIME_MS);
        let mut unproven = interrupted.iter().filter(|request| !request.is_proven_safe);
        let culprit = match (unproven.next(), unproven.next()) {
            (Some(only), None) if only.is_suspect => Some(only),
            _ => None,
        };
        let marked = culprit.map_or(interrupted, std::slice::from_ref);
        for request in marked {
            let existing = self.crashes(request.fingerprint).max(1);
            let crashes = existing + u32::from(culprit.is_some());
            let output_tokens = request.output_tokens;
            self.insert(request.fingerprint, Entry { crashes, output_tokens, expiry, updated_at });
        }
    }

    /// Records how much output a suspect had when an endpoint crashed. The pool's owner knows only
    /// the output of the last report.
    pub fn record_output(&self, fingerprint: Fingerprint, output_tokens: Tokens) {
        if let Some(entry) = self.find(fingerprint) {
            let updated_at = self.clock.now();
            self.insert(fingerprint, Entry { output_tokens, updated_at, ..entry });
        }
    }

    /// Merges a record received from another instance.
    pub fn merge(&self, record: SuspectRecord) {
        let SuspectRecord { fingerprint, crashes, output_tokens, .. } = record;
        let remaining_ms = record.remaining_ms.min(Self::LIFETIME_MS);
        let updated_at = self.clock.now();
        let received_expiry = updated_at.plus_ms(remaining_ms);
        let existing = self.find(fingerprint).unwrap_or_default();
        let extends_expiry = received_expiry > existing.expiry.plus_ms(Self::MIN_EXTENSION_MS);
        let is_longer =
            crashes > existing.crashes || (crashes == existing.crashes && extends_expiry);
        let has_more_output = crashes == existing.crashes && output_tokens > existing.output_tokens;
        if remaining_ms == 0 || !(is_longer || has_more_output) {
            return;
        }
        let expiry = if is_longer { received_expiry.max(existing.expiry) } else { existing.expiry };
        self.insert(fingerprint, Entry { crashes, output_tokens, expiry, updated_at });
    }

    /// Returns at most `max` records for a heartbeat: recently changed ones, and some others in
    /// rotation.
    pub fn heartbeat_batch(&self, max: usize) -> Vec<SuspectRecord> {
        let now = self.clock.now();
        let (fresh, others): (Vec<_>, Vec<_>) = self
            .active(now)
            .into_iter()
            .partition(|(_, entry)| now.ms_since(entry.updated_at) < Self::BROADCAST_MS);
        let rotation_slots = Self::ROTATING_PER_BATCH.min(others.len()).min(max);
        let mut sent: Vec<_> = fresh.into_iter().take(max - rotation_slots).collect();
        for _ in 0..rotation_slots {
            let after = others.iter().filter(|(fingerprint, _)| *fingerprint > self.cursor.get());
            let next = after.min_by_key(|(fingerprint, _)| *fingerprint);
            let next = next.or_else(|| others.iter().min_by_key(|(fingerprint, _)| *fingerprint));
            if let Some(entry) = next {
                self.cursor.set(entry.0);
                sent.push(*entry);
            }
        }
        sent.into_iter().map(|entry| record(entry, now)).collect()
    }

    /// Returns at most `max` records, those that expire last first.
    pub fn longest_lived(&self, max: usize) -> Vec<SuspectRecord> {
        let now = self.clock.now();
        self.active(now).into_iter().take(max).map(|entry| record(entry, now)).collect()
    }

    /// Returns the records that have not expired, those that expire last first.
    fn active(&self, now: Instant) -> Vec<(Fingerprint, Entry)> {
        let entries = self.entries.borrow();
        let active = entries.iter().filter(|(_, entry)| entry.expiry > now);
        let mut active: Vec<(Fingerprint, Entry)> = active.map(|(f, entry)| (*f, *entry)).collect();
        active.sort_by_key(|(fingerprint, entry)| (std::cmp::Reverse(entry.expiry), *fingerprint));
        active
    }

    /// Inserts an entry. Keeps the larger output of an unexpired entry.
    fn insert(&self, fingerprint: Fingerprint, entry: Entry) {
        let now = self.clock.now();
        let existing = self.find(fingerprint).map_or(Tokens(0), |existing| existing.output_tokens);
        let entry = Entry { output_tokens: entry.output_tokens.max(existing), ..entry };
        let mut entries = self.entries.borrow_mut();
        if entries.len() >= Self::MAX_ENTRIES && !entries.contains_key(&fingerprint) {
            entries.retain(|_, entry| entry.expiry > now);
        }
        // If it is still full, evict the entry that expires first.
        if entries.len() >= Self::MAX_ENTRIES
            && let Some(first) = entries.iter().min_by_key(|(_, e)| e.expiry).map(|(f, _)| *f)
        {
            entries.remove(&first);
        }
        entries.insert(fingerprint, entry);
    }
}

fn record((fingerprint, entry): (Fingerprint, Entry), now: Instant) -> SuspectRecord {
    let Entry { crashes, output_tokens, expiry, .. } = entry;
    SuspectRecord { fingerprint, crashes, output_tokens, remaining_ms: expiry.ms_since(now) }
}
