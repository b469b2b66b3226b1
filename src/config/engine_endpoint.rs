use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::{Role, ServiceState};
use crate::units::{ModelId, Pieces, ZoneId};

/// A model engine that serves one role in one pool.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEndpoint {
    pub address: SmolStr,
    pub zone: ZoneId,
    /// Configured role. The pool's owner orders the engine to switch to it.
    pub role: Role,
    pub model: ModelId,
    #[serde(default)]
    pub slice: u32,
    pub pieces: Pieces,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    pub link_bytes_per_s: u64,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    #[serde(default)]
    pub state: ServiceState,
}
