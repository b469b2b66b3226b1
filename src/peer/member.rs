use smol_str::SmolStr;

use crate::units::{Incarnation, InstanceId, RegionId, ZoneId};

/// The record of an instance that peers exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub peer_address: SmolStr,
    pub http_address: SmolStr,
    pub zone: ZoneId,
    pub region: RegionId,
    pub is_leaving: bool,
    /// Increases with time while the member runs. The record with the higher counter is newer.
    pub heartbeat_counter: u64,
    /// Share of the member's request slots in use, in thousandths.
    pub load_permille: u32,
}

impl Member {
    /// Clears the fields that are fixed for an incarnation, for peers that already know it.
    pub fn brief(self) -> Member {
        let (zone, region) = (ZoneId::new(""), RegionId::new(""));
        Member { peer_address: "".into(), http_address: "".into(), zone, region, ..self }
    }

    pub fn is_brief(&self) -> bool {
        self.peer_address.is_empty()
    }
}
