use serde::{Deserialize, Serialize};

use crate::admission::ServiceReport;
use crate::rollout::RolloutReport;

/// What newer parts of an instance tell their peers. Each field is empty unless a deployment's
/// configuration or settings call for the part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusExtension {
    /// Demand of the sender's callers by rank: what waits, arrives, is admitted and refused.
    pub waiting: Vec<ServiceReport>,
    /// Answers of the versions of services that are rolled out.
    pub rollouts: Vec<RolloutReport>,
}

impl StatusExtension {
    pub fn is_empty(&self) -> bool {
        *self == StatusExtension::default()
    }
}
