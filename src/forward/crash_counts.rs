use std::collections::HashMap;

use sha2::{Digest, Sha256};

use crate::clock::Instant;
use crate::fleet::CrashCount;
use crate::forward::CallerRequest;
use crate::units::Fingerprint;

/// Number of crashes after which a request is refused. Each send counts at most once.
const MAX_CRASHES: u8 = 3;
/// Time after the last crash at which the count of a request is removed.
const CRASH_TTL_MS: u64 = 120_000;
/// Maximum number of counts in one status message to peers.
const MAX_RECENT_COUNTS: usize = 32;

/// Counts of endpoint connections that broke while a request ran. A caller may retry the request at
/// any instance under a new attempt id, so requests are identified by key, target and body.
#[derive(Debug, Default)]
pub struct CrashCounts {
    counts: HashMap<Fingerprint, (u8, Instant)>,
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

    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.refused_until(fingerprint).is_some()
    }

    /// Returns until when a request is refused.
    pub fn refused_until(&self, fingerprint: Fingerprint) -> Option<Instant> {
        let (count, crashed_at) = self.counts.get(&fingerprint)?;
        (*count >= MAX_CRASHES).then(|| crashed_at.plus_ms(CRASH_TTL_MS))
    }

    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.remove_expired(now);
        let entry = self.counts.entry(fingerprint).or_insert((0, now));
        entry.0 = entry.0.saturating_add(1);
        entry.1 = now;
    }

    /// Merges the counts of a peer. Peers count different sends, so the greater of the two counts
    /// is a lower bound of the total.
    pub fn merge(&mut self, recent_counts: &[CrashCount], now: Instant) {
        for crash in recent_counts {
            let entry = self.counts.entry(Fingerprint(crash.fingerprint)).or_insert((0, now));
            if crash.crashes > entry.0 {
                *entry = (crash.crashes, now);
            }
        }
    }

    /// Returns the most recently changed counts, to be sent to peers.
    pub fn recent_counts(&self) -> Vec<CrashCount> {
        let mut counts: Vec<_> = self.counts.iter().collect();
        counts.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
        let recent_counts = counts.into_iter().take(MAX_RECENT_COUNTS);
        recent_counts
            .map(|(fingerprint, (crashes, _))| CrashCount {
                fingerprint: fingerprint.0,
                crashes: *crashes,
            })
            .collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.counts.retain(|_, (_, at)| now.ms_since(*at) < CRASH_TTL_MS);
    }
}
