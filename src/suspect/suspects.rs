use std::cell::RefCell;
use std::collections::HashMap;

use crate::clock::{Clock, Instant};
use crate::suspect::Suspicion;
use crate::units::Fingerprint;

/// Requests that were running on an endpoint when it died, as far as this instance knows.
#[derive(Debug)]
pub struct Suspects<C> {
    clock: C,
    entries: RefCell<HashMap<Fingerprint, Entry>>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    until: Instant,
}

impl<C: Clock> Suspects<C> {
    /// A suspicion ends ten minutes after the last crash.
    pub const LIFETIME_MS: u64 = 600_000;
    /// Requests with this many crashes are refused.
    pub const REFUSED_CRASHES: u32 = 2;
    /// A copy that only took longer to arrive does not extend a suspicion. Otherwise copies that
    /// circulate between instances would never expire.
    const LEAST_EXTENSION_MS: u64 = 10_000;
    const MAX_ENTRIES: usize = 10_000;

    pub fn new(clock: C) -> Suspects<C> {
        Suspects { clock, entries: RefCell::default() }
    }

    /// Number of endpoints that died under the request.
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        entries.get(&fingerprint).filter(|e| e.until > now).map_or(0, |e| e.crashes)
    }

    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.crashes(fingerprint) >= Self::REFUSED_CRASHES
    }

    /// Notes the requests that ran on an endpoint when it died, each with whether it was admitted
    /// as a suspect. If one was, the others are not held responsible.
    pub fn note_crash(&self, ran: &[(Fingerprint, bool)]) {
        let until = self.clock.now().plus_ms(Self::LIFETIME_MS);
        let had_suspect = ran.iter().any(|(_, is_suspect)| *is_suspect);
        for (fingerprint, is_suspect) in ran {
            let known = self.crashes(*fingerprint);
            let crashes = match (had_suspect, is_suspect) {
                (true, true) => known.max(1) + 1,
                (true, false) => continue,
                (false, _) => known.max(1),
            };
            self.insert(*fingerprint, Entry { crashes, until });
        }
    }

    /// Merges a suspicion of another instance.
    pub fn learn(&self, suspicion: Suspicion) {
        let remaining_ms = suspicion.remaining_ms.min(Self::LIFETIME_MS);
        let learned =
            Entry { crashes: suspicion.crashes, until: self.clock.now().plus_ms(remaining_ms) };
        let crashes = self.crashes(suspicion.fingerprint);
        let known = self.entries.borrow().get(&suspicion.fingerprint).copied();
        let until = known.map_or(Instant::default(), |entry| entry.until);
        let extends = learned.until > until.plus_ms(Self::LEAST_EXTENSION_MS);
        let is_news = learned.crashes > crashes || (learned.crashes == crashes && extends);
        if remaining_ms > 0 && is_news {
            let until = learned.until.max(until);
            self.insert(suspicion.fingerprint, Entry { until, ..learned });
        }
    }

    /// At most `max` suspicions, those that end last first.
    pub fn recent(&self, max: usize) -> Vec<Suspicion> {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        let mut live: Vec<_> = entries.iter().filter(|(_, entry)| entry.until > now).collect();
        live.sort_by_key(|(fingerprint, entry)| (std::cmp::Reverse(entry.until), **fingerprint));
        let suspicion = |(fingerprint, entry): (&Fingerprint, &Entry)| Suspicion {
            fingerprint: *fingerprint,
            crashes: entry.crashes,
            remaining_ms: entry.until.ms_since(now),
        };
        live.into_iter().take(max).map(suspicion).collect()
    }

    fn insert(&self, fingerprint: Fingerprint, entry: Entry) {
        let now = self.clock.now();
        let mut entries = self.entries.borrow_mut();
        if entries.len() >= Self::MAX_ENTRIES && !entries.contains_key(&fingerprint) {
            entries.retain(|_, entry| entry.until > now);
        }
        // Still full: the one that ends first makes room.
        if entries.len() >= Self::MAX_ENTRIES
            && let Some(first) = entries.iter().min_by_key(|(_, e)| e.until).map(|(f, _)| *f)
        {
            entries.remove(&first);
        }
        entries.insert(fingerprint, entry);
    }
}
