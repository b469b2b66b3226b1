use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::config::{Adapter, EngineEndpoint, Model, Role};
use crate::engine::{EngineState, Order};
use crate::units::ModelId;

/// Role, model and adapters that the configuration assigns to an engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TargetState {
    pub role: Role,
    pub model: ModelId,
    /// Empty if any revision is accepted.
    revision: SmolStr,
    adapters: BTreeMap<SmolStr, Adapter>,
    weights_bytes: u64,
}

impl TargetState {
    pub fn new(entry: &EngineEndpoint, model: Option<&Model>) -> TargetState {
        TargetState {
            role: entry.role,
            model: entry.model.clone(),
            revision: model.map(|m| m.revision.clone()).unwrap_or_default(),
            adapters: model.map(|m| m.adapters.clone()).unwrap_or_default(),
            weights_bytes: model.map_or(0, |m| m.weights_bytes),
        }
    }

    /// Returns the next order that brings an engine from its reported state to the target. The role
    /// comes last, so that an engine has everything it needs when it switches.
    pub fn next_order(&self, state: &EngineState) -> Option<Order> {
        if let Some(models) = &state.models {
            let revision = models.get(&self.model);
            let is_loaded =
                revision.is_some_and(|r| self.revision.is_empty() || *r == self.revision);
            if !is_loaded {
                let (model, revision) = (self.model.clone(), self.revision.clone());
                return Some(Order::LoadModel { model, revision });
            }
        }
        let missing = self
            .adapters
            .iter()
            .find(|(name, adapter)| state.adapters.get(*name) != Some(&adapter.revision));
        if let Some((adapter, Adapter { revision, .. })) = missing {
            let (adapter, revision) = (adapter.clone(), revision.clone());
            return Some(Order::LoadAdapter { adapter, revision });
        }
        let role = self.role.to_string().into();
        (!state.roles.contains(&self.role)).then_some(Order::SetRole { role })
    }

    /// Returns the number of bytes that the engine reads from the weight store to execute an order.
    pub fn bytes_of(&self, order: &Order) -> u64 {
        match order {
            Order::SetRole { .. } => 0,
            Order::LoadModel { .. } => self.weights_bytes,
            Order::LoadAdapter { adapter, .. } => {
                self.adapters.get(adapter).map_or(0, |adapter| adapter.weights_bytes)
            }
        }
    }
}
