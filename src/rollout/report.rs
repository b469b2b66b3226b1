use serde::{Deserialize, Serialize};

use crate::rollout::{RolloutState, VersionCounts};
use crate::units::ServiceId;

/// What an instance tells its peers of a roll-out. The counts are totals, so that lost or repeated
/// reports change nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    pub service: ServiceId,
    /// The newest step that the sender knows.
    pub state: RolloutState,
    /// Time since the instance that decides was known to decide.
    pub confirmed_age_ms: u64,
    /// Whether the sender sends to the new version only, with nothing running on an old one.
    pub is_moved: bool,
    /// Answers that the sender got, by step and route.
    pub counts: Vec<((u32, u32), VersionCounts)>,
}
