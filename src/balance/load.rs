use serde::{Deserialize, Serialize};

use crate::balance::AvoidReport;

/// Load that one or more instances have placed on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub requests: u32,
    /// Prompt tokens that have not been processed yet.
    pub prompt_tokens: u64,
    /// KV cache memory reserved for running requests, at the size they are expected to reach.
    pub memory_tokens: u64,
}

impl Load {
    pub fn is_empty(&self) -> bool {
        *self == Load::default()
    }

    pub fn add(&mut self, other: &Load) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.memory_tokens += other.memory_tokens;
    }

    pub fn subtract(&mut self, other: &Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_sub(other.prompt_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// Load of one endpoint as reported by a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// `EndpointState::key` of the endpoint.
    pub endpoint_key: u32,
    pub load: Load,
    pub avoidance: AvoidReport,
}

/// Fraction of a peer's requests that an endpoint rejects without running them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRejection {
    /// `EndpointState::key` of the endpoint.
    pub endpoint_key: u32,
    pub percent: u8,
}
