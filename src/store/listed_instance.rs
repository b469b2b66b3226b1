use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{Incarnation, InstanceId, RegionId, ZoneId};

/// An entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub peer_address: SmolStr,
    pub http_address: SmolStr,
    pub zone: ZoneId,
    pub region: RegionId,
    pub state: ListedState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    Live,
    Leaving,
}
