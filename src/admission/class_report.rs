use serde::{Deserialize, Serialize};

use crate::admission::Rank;
use crate::units::ServiceId;

/// Demand of one rank at one instance, in tokens of KV cache memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassReport {
    pub rank: Rank,
    /// Memory that the requests in the queue need.
    pub waiting_tokens: u32,
    pub offered_tokens_per_s: u32,
    pub admitted_tokens_per_s: u32,
    pub refused_tokens_per_s: u32,
}

/// Demand for one service at one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    pub service: ServiceId,
    pub classes: Vec<ClassReport>,
}
