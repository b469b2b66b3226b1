use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::bucket::Bucket;
use super::holder_time::HolderTime;
use crate::clock::Instant;
use crate::units::{FencingToken, OrganisationId};

/// Token buckets of one held shard. All times are holder times, so that the shard can be handed
/// over between instances whose clocks differ. During the handover the shard's clock is stopped:
/// nothing refills and no grant expires, so the error is towards fewer tokens.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Shard {
    pub fencing: FencingToken,
    pub filling_since: HolderTime,
    pub buckets: BTreeMap<OrganisationId, Bucket>,
    started_at: HolderTime,
    /// Local time that corresponds to `started_at`.
    #[serde(skip)]
    started_at_local: Instant,
    /// An exported shard grants no more tokens under its fencing token.
    #[serde(skip)]
    pub is_exported: bool,
    #[serde(skip)]
    swept_at: HolderTime,
}

impl Shard {
    const SWEEP_INTERVAL_MS: u64 = 10_000;

    pub fn new(fencing: FencingToken, old_grants_end: Instant, now: Instant) -> Shard {
        let started_at = HolderTime::start(fencing);
        Shard {
            fencing,
            filling_since: started_at.plus_ms(old_grants_end.ms_since(now)),
            buckets: BTreeMap::new(),
            started_at,
            started_at_local: now,
            is_exported: false,
            swept_at: started_at,
        }
    }

    /// Converts local time to holder time. Times before the state arrived are converted too: a full
    /// idle bucket is not exported, and would otherwise be empty when it is created again.
    pub fn time_at(&self, at: Instant) -> HolderTime {
        if at < self.started_at_local {
            return self.started_at.minus_ms(self.started_at_local.ms_since(at));
        }
        self.started_at.plus_ms(at.ms_since(self.started_at_local))
    }

    /// Stops the clock of a state that is exported.
    pub fn stop_clock(&mut self, now: Instant) {
        self.started_at = self.time_at(now);
        self.started_at_local = now;
        self.is_exported = true;
    }

    /// Continues the clock of a stopped state from the local time `now`.
    pub fn resume_clock(&mut self, now: Instant) {
        self.started_at_local = now;
        self.swept_at = self.started_at;
    }

    /// Drops full, idle buckets at intervals of `SWEEP_INTERVAL_MS`.
    pub fn sweep(&mut self, now: HolderTime) {
        if now.ms_since(self.swept_at) >= Shard::SWEEP_INTERVAL_MS {
            self.swept_at = now;
            self.buckets.retain(|_, bucket| !bucket.is_idle(now));
        }
    }
}
