use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::{Role, ServiceState};
use crate::units::{ModelId, Pieces, ZoneId};

/// A model engine that serves one role of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEndpoint {
    pub address: SmolStr,
    pub zone: ZoneId,
    /// Wanted role. The pool's owner brings the engine there.
    pub role: Role,
    pub model: ModelId,
    #[serde(default)]
    pub slice: u32,
    pub pieces: Pieces,
    /// Requests that run at a time.
    pub slots: u32,
    pub link_bytes_per_s: u64,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    #[serde(default)]
    pub state: ServiceState,
}
