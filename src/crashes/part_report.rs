use serde::{Deserialize, Serialize};

use crate::balance::IncarnationKey;
use crate::crashes::PartKey;

/// What an instance knows of a part under which endpoints have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    pub key: PartKey,
    pub ends: Vec<EndReport>,
}

/// The end of an endpoint's process in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    pub process: IncarnationKey,
    /// Time from the end to the message. Instances have no common clock.
    pub age_ms: u64,
    pub is_excused: bool,
}
