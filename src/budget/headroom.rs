use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::holder_time::HolderTime;
use super::limits::REFUND_WINDOW_MS;

/// Minimum headroom (capacity − level − outstanding) over the last ten minutes, as a monotonic
/// queue: values increase from front to back, and each is the minimum since the time of the sample
/// before it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Headroom {
    since: HolderTime,
    samples: VecDeque<(HolderTime, u64)>,
}

impl Headroom {
    /// Limits the memory per organisation to 4 KB. Beyond it, adjacent samples are merged.
    const MAX_SAMPLES: usize = 256;

    pub fn new(since: HolderTime) -> Headroom {
        Headroom { since, samples: VecDeque::new() }
    }

    pub fn record(&mut self, at: HolderTime, milli_tokens: u64) {
        while self.samples.back().is_some_and(|(_, value)| *value >= milli_tokens) {
            self.samples.pop_back();
        }
        self.samples.push_back((at, milli_tokens));
        while self.samples.front().is_some_and(|(t, _)| at.ms_since(*t) > REFUND_WINDOW_MS) {
            self.samples.pop_front();
        }
        if self.samples.len() > Headroom::MAX_SAMPLES {
            self.merge_adjacent();
        }
    }

    /// Keeps the later time and the lower value of each pair, which underestimates the headroom.
    fn merge_adjacent(&mut self) {
        let samples = self.samples.make_contiguous();
        let merged = samples.chunks(2).map(|pair| (pair[pair.len() - 1].0, pair[0].1)).collect();
        self.samples = merged;
    }

    /// Minimum value recorded after `granted_at`, or zero if the record does not reach back that
    /// far.
    pub fn min_since(&self, granted_at: HolderTime, now: HolderTime, current: u64) -> u64 {
        let is_known = granted_at >= self.since
            && granted_at <= now
            && now.ms_since(granted_at) < REFUND_WINDOW_MS;
        if !is_known {
            return 0;
        }
        let value = self.samples.iter().find(|(at, _)| *at > granted_at).map(|(_, value)| *value);
        value.unwrap_or(current).min(current)
    }

    /// Lowers the samples as if the refunded tokens had been in the bucket since `granted_at`.
    pub fn lower(&mut self, granted_at: HolderTime, milli_tokens: u64) {
        let first = self.samples.partition_point(|(at, _)| *at <= granted_at);
        for (_, value) in self.samples.iter_mut().skip(first) {
            *value = value.saturating_sub(milli_tokens);
        }
        let Some(lowered) = self.samples.get(first).map(|(_, value)| *value) else { return };
        let kept =
            self.samples.iter().take(first).take_while(|(_, value)| *value < lowered).count();
        self.samples.drain(kept..first);
    }
}
