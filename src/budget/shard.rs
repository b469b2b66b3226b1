use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::bucket::Bucket;
use super::holder_time::HolderTime;
use crate::clock::Instant;
use crate::units::{FencingToken, OrganisationId};

/// Buckets of one held shard. All times in it are holder times, so it can be handed over between
/// instances whose clocks differ. Time stands still while it travels: nothing refills and no
/// grant expires, which errs towards fewer tokens.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Shard {
    pub fencing: FencingToken,
    pub filling_since: HolderTime,
    pub buckets: BTreeMap<OrganisationId, Bucket>,
    started_at: HolderTime,
    /// This instance's time at `started_at`.
    #[serde(skip)]
    started_at_local: Instant,
    /// An exported shard grants nothing more under its fencing number.
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

    /// Times before the state arrived here count too: a bucket that was full and idle is not sent,
    /// and would otherwise be empty at its next use.
    pub fn time_at(&self, at: Instant) -> HolderTime {
        if at < self.started_at_local {
            return self.started_at.minus_ms(self.started_at_local.ms_since(at));
        }
        self.started_at.plus_ms(at.ms_since(self.started_at_local))
    }

    /// Fixes the time of the state that leaves this instance.
    pub fn stop(&mut self, now: Instant) {
        self.started_at = self.time_at(now);
        self.started_at_local = now;
        self.is_exported = true;
    }

    /// Lets the time of a state that another instance stopped run on here.
    pub fn resume(&mut self, now: Instant) {
        self.started_at_local = now;
        self.swept_at = self.started_at;
    }

    /// Drops buckets that are full and idle.
    pub fn sweep(&mut self, now: HolderTime) {
        if now.ms_since(self.swept_at) >= Shard::SWEEP_INTERVAL_MS {
            self.swept_at = now;
            self.buckets.retain(|_, bucket| !bucket.is_idle(now));
        }
    }
}
