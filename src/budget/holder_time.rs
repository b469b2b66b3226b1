use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::units::FencingToken;

/// Time of a budget shard, in milliseconds. It starts at a value derived from the fencing token of
/// the holder and is passed on when the shard is handed over. Holders that did not hand over to
/// each other therefore use disjoint ranges of times.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HolderTime(u64);

impl HolderTime {
    /// 2^40 ms are 34 years, longer than any lease is held.
    const RANGE_BITS: u32 = 40;
    const REGION_BIT: u64 = 1 << 63;

    pub fn start(fencing: FencingToken) -> HolderTime {
        HolderTime(fencing.0 << HolderTime::RANGE_BITS)
    }

    /// Start time of a regional holder. Its fencing token belongs to a different lease from that of
    /// the budget shard, so equal tokens must not give the same range.
    pub fn start_for_region(fencing: FencingToken) -> HolderTime {
        HolderTime(HolderTime::start(fencing).0 | HolderTime::REGION_BIT)
    }

    pub fn plus_ms(self, ms: u64) -> HolderTime {
        HolderTime(self.0.saturating_add(ms))
    }

    pub fn minus_ms(self, ms: u64) -> HolderTime {
        HolderTime(self.0.saturating_sub(ms))
    }

    pub fn ms_since(self, earlier: HolderTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    pub fn from_wire(at: Instant) -> HolderTime {
        HolderTime(at.as_ms())
    }

    pub fn to_wire(self) -> Instant {
        Instant::from_ms(self.0)
    }

    /// Whether both times come from the same holder or from holders that handed over to each other.
    pub fn has_same_start(self, other: HolderTime) -> bool {
        self.0 >> HolderTime::RANGE_BITS == other.0 >> HolderTime::RANGE_BITS
    }
}
