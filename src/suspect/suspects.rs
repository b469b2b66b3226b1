use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use crate::clock::{Clock, Instant};
use crate::suspect::Suspicion;
use crate::units::Fingerprint;

/// Requests that were running on an endpoint when it died, as far as this instance knows.
#[derive(Debug)]
pub struct Suspects<C> {
    clock: C,
    entries: RefCell<HashMap<Fingerprint, Entry>>,
    /// The last suspicion that was sent in turn.
    cursor: Cell<Fingerprint>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    until: Instant,
    learned_at: Instant,
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
    /// Peers are told of a suspicion in each message for this long, then in turn. A time rather
    /// than a number of messages: a crash is told to all connected peers at once.
    const NEWS_MS: u64 = 4_000;
    /// Suspicions in each message that are no news, for instances that missed them.
    const ROTATING: usize = 1;

    pub fn new(clock: C) -> Suspects<C> {
        Suspects { clock, entries: RefCell::default(), cursor: Cell::new(Fingerprint(0)) }
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
        let learned_at = self.clock.now();
        let until = learned_at.plus_ms(Self::LIFETIME_MS);
        let had_suspect = ran.iter().any(|(_, is_suspect)| *is_suspect);
        for (fingerprint, is_suspect) in ran {
            let known = self.crashes(*fingerprint);
            let crashes = match (had_suspect, is_suspect) {
                (true, true) => known.max(1) + 1,
                (true, false) => continue,
                (false, _) => known.max(1),
            };
            self.insert(*fingerprint, Entry { crashes, until, learned_at });
        }
    }

    /// Merges a suspicion of another instance.
    pub fn learn(&self, suspicion: Suspicion) {
        let remaining_ms = suspicion.remaining_ms.min(Self::LIFETIME_MS);
        let now = self.clock.now();
        let until = now.plus_ms(remaining_ms);
        let learned = Entry { crashes: suspicion.crashes, until, learned_at: now };
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

    /// At most `max` suspicions: those that are new here, and some others in turn.
    pub fn recent(&self, max: usize) -> Vec<Suspicion> {
        let now = self.clock.now();
        let (news, others): (Vec<_>, Vec<_>) = self
            .live(now)
            .into_iter()
            .partition(|(_, entry)| now.ms_since(entry.learned_at) < Self::NEWS_MS);
        let places = Self::ROTATING.min(others.len()).min(max);
        let mut sent: Vec<_> = news.into_iter().take(max - places).collect();
        for _ in 0..places {
            let after = others.iter().filter(|(fingerprint, _)| *fingerprint > self.cursor.get());
            let next = after.min_by_key(|(fingerprint, _)| *fingerprint);
            let next = next.or_else(|| others.iter().min_by_key(|(fingerprint, _)| *fingerprint));
            if let Some(entry) = next {
                self.cursor.set(entry.0);
                sent.push(*entry);
            }
        }
        sent.into_iter().map(|entry| suspicion(entry, now)).collect()
    }

    /// At most `max` suspicions, those that end last first.
    pub fn newest(&self, max: usize) -> Vec<Suspicion> {
        let now = self.clock.now();
        self.live(now).into_iter().take(max).map(|entry| suspicion(entry, now)).collect()
    }

    /// Suspicions that have not ended, those that end last first.
    fn live(&self, now: Instant) -> Vec<(Fingerprint, Entry)> {
        let entries = self.entries.borrow();
        let live = entries.iter().filter(|(_, entry)| entry.until > now);
        let mut live: Vec<(Fingerprint, Entry)> = live.map(|(f, entry)| (*f, *entry)).collect();
        live.sort_by_key(|(fingerprint, entry)| (std::cmp::Reverse(entry.until), *fingerprint));
        live
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

fn suspicion((fingerprint, entry): (Fingerprint, Entry), now: Instant) -> Suspicion {
    let remaining_ms = entry.until.ms_since(now);
    Suspicion { fingerprint, crashes: entry.crashes, remaining_ms }
}
