use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::holder_time::HolderTime;
use super::limits::REFUND_WINDOW_MS;

/// Least headroom (capacity − level − outstanding) of the last ten minutes, as a monotone queue:
/// values grow from front to back, and each is the least from its predecessor's time on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Headroom {
    since: HolderTime,
    samples: VecDeque<(HolderTime, u64)>,
}

impl Headroom {
    /// Bounds the memory of an organisation to 4 KB. Beyond it, neighbours are merged.
    const MAX_SAMPLES: usize = 256;

    pub fn new(since: HolderTime) -> Headroom {
        Headroom { since, samples: VecDeque::new() }
    }

    pub fn record(&mut self, at: HolderTime, milli_tokens: u64) {
        while self.samples.back().is_some_and(|(_, least)| *least >= milli_tokens) {
            self.samples.pop_back();
        }
        self.samples.push_back((at, milli_tokens));
        while self.samples.front().is_some_and(|(t, _)| at.ms_since(*t) > REFUND_WINDOW_MS) {
            self.samples.pop_front();
        }
        if self.samples.len() > Headroom::MAX_SAMPLES {
            self.merge_neighbours();
        }
    }

    /// The later time with the lower value errs towards a lower headroom.
    fn merge_neighbours(&mut self) {
        let samples = self.samples.make_contiguous();
        let merged = samples.chunks(2).map(|pair| (pair[pair.len() - 1].0, pair[0].1)).collect();
        self.samples = merged;
    }

    /// Least value recorded after `granted_at`; zero if that is not remembered any more.
    pub fn least_since(&self, granted_at: HolderTime, now: HolderTime, current: u64) -> u64 {
        let is_known = granted_at >= self.since
            && granted_at <= now
            && now.ms_since(granted_at) < REFUND_WINDOW_MS;
        if !is_known {
            return 0;
        }
        let least = self.samples.iter().find(|(at, _)| *at > granted_at).map(|(_, least)| *least);
        least.unwrap_or(current).min(current)
    }

    /// Accounts for a refund as if its tokens had stayed in the bucket since `granted_at`.
    pub fn lower(&mut self, granted_at: HolderTime, milli_tokens: u64) {
        let first = self.samples.partition_point(|(at, _)| *at <= granted_at);
        for (_, least) in self.samples.iter_mut().skip(first) {
            *least = least.saturating_sub(milli_tokens);
        }
        let Some(lowered) = self.samples.get(first).map(|(_, least)| *least) else { return };
        let kept =
            self.samples.iter().take(first).take_while(|(_, least)| *least < lowered).count();
        self.samples.drain(kept..first);
    }
}
