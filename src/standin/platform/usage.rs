use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Number of seconds for which row counts are kept.
const MAX_RECORDED_SECONDS: usize = 900;

/// Numbers of rows read and written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RowCounts {
    pub reads: u64,
    pub writes: u64,
}

/// Statistics of the platform stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformStats {
    pub total: RowCounts,
    /// Row counts by the part of the key before the first `/`.
    pub by_prefix: BTreeMap<String, RowCounts>,
    /// Row counts by second since the start, newest last; at most 900 entries.
    pub per_second: VecDeque<(u64, RowCounts)>,
    pub calls: u64,
    pub conflicts: u64,
    pub throttled: u64,
    pub lost_answers: u64,
    pub objects: u64,
}

/// Counts rows and enforces the limits per second.
#[derive(Debug)]
pub struct Usage {
    started: Instant,
    limits: RowCounts,
    pub stats: PlatformStats,
}

impl Usage {
    pub fn new(reads_per_s: u64, writes_per_s: u64) -> Usage {
        Usage {
            started: Instant::now(),
            limits: RowCounts { reads: reads_per_s, writes: writes_per_s },
            stats: PlatformStats::default(),
        }
    }

    /// Whether the limits of the current second allow `rows` in addition. Counts a throttled call
    /// if not.
    pub fn allows(&mut self, rows: RowCounts) -> bool {
        let limits = self.limits;
        let used = *self.current();
        let fits = |limit, used, more| limit == 0 || more == 0 || used + more <= limit;
        let allowed = fits(limits.reads, used.reads, rows.reads)
            && fits(limits.writes, used.writes, rows.writes);
        self.stats.throttled += u64::from(!allowed);
        allowed
    }

    pub fn count<'a>(&mut self, keys: impl Iterator<Item = &'a str>, each: RowCounts) {
        for key in keys {
            let prefix = key.split('/').next().unwrap_or(key).to_string();
            add(self.stats.by_prefix.entry(prefix).or_default(), each);
            add(&mut self.stats.total, each);
            add(self.current(), each);
        }
    }

    fn current(&mut self) -> &mut RowCounts {
        let second = Duration::as_secs(&self.started.elapsed());
        let seconds = &mut self.stats.per_second;
        if seconds.back().is_none_or(|(newest, _)| *newest != second) {
            seconds.push_back((second, RowCounts::default()));
        }
        if seconds.len() > MAX_RECORDED_SECONDS {
            seconds.pop_front();
        }
        let newest = seconds.len() - 1;
        &mut seconds[newest].1
    }
}

fn add(sum: &mut RowCounts, more: RowCounts) {
    sum.reads += more.reads;
    sum.writes += more.writes;
}
