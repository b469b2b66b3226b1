use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a step of a roll-out lets instances do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The new version gets this part of each instance's allowance, in percent.
    Observing {
        allowance_percent: u8,
    },
    /// The new version gets all requests; those that run on the old ones finish.
    Moving,
    Succeeded,
    RolledBack,
}

impl RolloutPhase {
    pub fn is_final(self) -> bool {
        matches!(self, RolloutPhase::Succeeded | RolloutPhase::RolledBack)
    }
}

/// A step of a roll-out, as it lies in the store and passes between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// Version of the order's row. A later order for the service has a higher one.
    pub order: u64,
    pub target: SmolStr,
    /// Increases with every change of the state.
    pub step: u32,
    pub phase: RolloutPhase,
    /// Start of the roll-out, of this step, and the time by which the roll-out must have ended, on
    /// the store's clock.
    pub started_store_ms: u64,
    pub step_store_ms: u64,
    pub deadline_store_ms: u64,
}

impl RolloutState {
    pub fn is_newer_than(&self, other: &RolloutState) -> bool {
        (self.order, self.step) > (other.order, other.step)
    }

    /// The next step.
    pub fn advance(&self, phase: RolloutPhase, store_ms: u64) -> RolloutState {
        RolloutState {
            step: self.step + 1,
            phase,
            step_store_ms: store_ms,
            target: self.target.clone(),
            ..*self
        }
    }
}
