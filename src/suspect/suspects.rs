use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use crate::clock::{Clock, Instant};
use crate::suspect::{InterruptedRequest, SuspectRecord};
use crate::units::{Fingerprint, Tokens};

/// Requests that were running on an endpoint when it died, as far as this instance knows.
#[derive(Debug)]
pub struct Suspects<C> {
    clock: C,
    entries: RefCell<HashMap<Fingerprint, Entry>>,
    /// The last suspicion that was sent in turn.
    cursor: Cell<Fingerprint>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    crashes: u32,
    output_tokens: Tokens,
    expires_at: Instant,
    updated_at: Instant,
}

impl<C: Clock> Suspects<C> {
    /// A suspicion ends ten minutes after the last crash.
    pub const LIFETIME_MS: u64 = 600_000;
    /// Requests with this many crashes are refused.
    pub const REFUSED_CRASHES: u32 = 2;
    /// Output after which a decode endpoint is not put down to a request: engines die at the import
    /// or within the first steps. At 64 ms between tokens this takes half a second.
    const PROOF_TOKENS: Tokens = Tokens(8);
    /// A copy that only took longer to arrive does not extend a suspicion. Otherwise copies that
    /// circulate between instances would never expire.
    const MIN_EXTENSION_MS: u64 = 10_000;
    const MAX_ENTRIES: usize = 10_000;
    /// Peers are told of a suspicion in each message for this long, then in turn. A time rather
    /// than a number of messages: a crash is told to all connected peers at once.
    const BROADCAST_MS: u64 = 4_000;
    /// Suspicions in each message that are no news, for instances that missed them.
    const ROTATING_PER_BATCH: usize = 1;

    pub fn new(clock: C) -> Suspects<C> {
        Suspects { clock, entries: RefCell::default(), cursor: Cell::new(Fingerprint(0)) }
    }

    /// Number of endpoints that died under the request.
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        self.find(fingerprint).map_or(0, |entry| entry.crashes)
    }

    /// Whether no request is a suspect.
    pub fn is_empty(&self) -> bool {
        let now = self.clock.now();
        !self.entries.borrow().values().any(|entry| entry.expires_at > now)
    }

    /// Output from which on a request that begins at `first_index` has shown that it does not crash
    /// its decode endpoint. A suspect has to get past the output at which an endpoint died.
    pub fn proof_tokens(&self, fingerprint: Fingerprint, first_index: Tokens) -> Tokens {
        let died_at = self.find(fingerprint).map_or(Tokens(0), |entry| entry.output_tokens);
        died_at.max(first_index) + Self::PROOF_TOKENS
    }

    fn find(&self, fingerprint: Fingerprint) -> Option<Entry> {
        let now = self.clock.now();
        self.entries.borrow().get(&fingerprint).copied().filter(|entry| entry.expires_at > now)
    }

    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.crashes(fingerprint) >= Self::REFUSED_CRASHES
    }

    /// Notes the requests that ran on an endpoint when it died. A suspect that was the only one
    /// without proof is held responsible. Otherwise all of them are suspects.
    pub fn record_crash(&self, interrupted: &[InterruptedRequest]) {
        let updated_at = self.clock.now();
        let expires_at = updated_at.plus_ms(Self::LIFETIME_MS);
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
            self.insert(
                request.fingerprint,
                Entry { crashes, output_tokens, expires_at, updated_at },
            );
        }
    }

    /// Notes how much output a suspect had when an endpoint died under it. The pool's owner knows
    /// only the last report.
    pub fn record_output(&self, fingerprint: Fingerprint, output_tokens: Tokens) {
        if let Some(entry) = self.find(fingerprint) {
            let updated_at = self.clock.now();
            self.insert(fingerprint, Entry { output_tokens, updated_at, ..entry });
        }
    }

    /// Merges a suspicion of another instance.
    pub fn merge(&self, record: SuspectRecord) {
        let SuspectRecord { fingerprint, crashes, output_tokens, .. } = record;
        let remaining_ms = record.remaining_ms.min(Self::LIFETIME_MS);
        let updated_at = self.clock.now();
        let received_expires_at = updated_at.plus_ms(remaining_ms);
        let existing = self.find(fingerprint).unwrap_or_default();
        let extends_expiry =
            received_expires_at > existing.expires_at.plus_ms(Self::MIN_EXTENSION_MS);
        let is_longer =
            crashes > existing.crashes || (crashes == existing.crashes && extends_expiry);
        let has_more_output = crashes == existing.crashes && output_tokens > existing.output_tokens;
        if remaining_ms == 0 || !(is_longer || has_more_output) {
            return;
        }
        let expires_at = if is_longer {
            received_expires_at.max(existing.expires_at)
        } else {
            existing.expires_at
        };
        self.insert(fingerprint, Entry { crashes, output_tokens, expires_at, updated_at });
    }

    /// At most `max` suspicions: those that are new here, and some others in turn.
    pub fn heartbeat_batch(&self, max: usize) -> Vec<SuspectRecord> {
        let now = self.clock.now();
        let (fresh, others): (Vec<_>, Vec<_>) = self
            .unexpired(now)
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

    /// At most `max` suspicions, those that end last first.
    pub fn longest_lived(&self, max: usize) -> Vec<SuspectRecord> {
        let now = self.clock.now();
        self.unexpired(now).into_iter().take(max).map(|entry| record(entry, now)).collect()
    }

    /// Suspicions that have not ended, those that end last first.
    fn unexpired(&self, now: Instant) -> Vec<(Fingerprint, Entry)> {
        let entries = self.entries.borrow();
        let unexpired = entries.iter().filter(|(_, entry)| entry.expires_at > now);
        let mut unexpired: Vec<(Fingerprint, Entry)> =
            unexpired.map(|(f, entry)| (*f, *entry)).collect();
        unexpired.sort_by_key(|(fingerprint, entry)| {
            (std::cmp::Reverse(entry.expires_at), *fingerprint)
        });
        unexpired
    }

    /// Keeps the most output of a live entry.
    fn insert(&self, fingerprint: Fingerprint, entry: Entry) {
        let now = self.clock.now();
        let existing = self.find(fingerprint).map_or(Tokens(0), |existing| existing.output_tokens);
        let entry = Entry { output_tokens: entry.output_tokens.max(existing), ..entry };
        let mut entries = self.entries.borrow_mut();
        if entries.len() >= Self::MAX_ENTRIES && !entries.contains_key(&fingerprint) {
            entries.retain(|_, entry| entry.expires_at > now);
        }
        // Still full: the one that ends first makes room.
        if entries.len() >= Self::MAX_ENTRIES
            && let Some(first) = entries.iter().min_by_key(|(_, e)| e.expires_at).map(|(f, _)| *f)
        {
            entries.remove(&first);
        }
        entries.insert(fingerprint, entry);
    }
}

fn record((fingerprint, entry): (Fingerprint, Entry), now: Instant) -> SuspectRecord {
    let Entry { crashes, output_tokens, expires_at, .. } = entry;
    SuspectRecord { fingerprint, crashes, output_tokens, remaining_ms: expires_at.ms_since(now) }
}
