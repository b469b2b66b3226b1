use serde::{Deserialize, Serialize};

/// Work at an endpoint that one or more instances sent there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    pub prompt_tokens: u64,
    /// Memory of running requests, at the size they may reach.
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

/// What a peer tells of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// `EndpointState::key` of the endpoint.
    pub endpoint_key: u32,
    pub load: Load,
    /// Time for which the peer avoids the endpoint, 0 if it does not.
    pub avoid_ms: u16,
}
