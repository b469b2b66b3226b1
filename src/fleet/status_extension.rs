use serde::{Deserialize, Serialize};

use crate::rollout::RolloutReport;

/// What newer parts of an instance tell their peers. Each field is empty unless a deployment's
/// configuration or settings call for the part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusExtension {
    /// Requests that wait for room, by class.
    pub waiting: Vec<u8>,
    /// Speeds of endpoints.
    pub speeds: Vec<u8>,
    /// Answers of the versions of services that are rolled out.
    pub rollouts: Vec<RolloutReport>,
}

impl StatusExtension {
    pub fn is_empty(&self) -> bool {
        *self == StatusExtension::default()
    }
}
