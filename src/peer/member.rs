use smol_str::SmolStr;

use crate::units::{Incarnation, InstanceId, RegionId, ZoneId};

/// An instance as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub peer_address: SmolStr,
    pub http_address: SmolStr,
    pub zone: ZoneId,
    pub region: RegionId,
    pub is_leaving: bool,
    /// Grows with each heartbeat that the member itself sends; the higher counter is newer.
    pub heartbeat_counter: u64,
    /// Share of the member's request slots in use.
    pub load_permille: u32,
}

impl Member {
    /// The record without what does not change during a run, for peers that know the run.
    pub fn brief(self) -> Member {
        let (zone, region) = (ZoneId::new(""), RegionId::new(""));
        Member { peer_address: "".into(), http_address: "".into(), zone, region, ..self }
    }

    pub fn is_brief(&self) -> bool {
        self.peer_address.is_empty()
    }
}
