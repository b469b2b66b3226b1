use crate::config::Confirmation;
use crate::lease::Holding;
use crate::peer::Member;
use crate::suspect::Suspicion;

/// Exchanged once a second on each connection between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    pub sender: Member,
    /// Members that changed recently.
    pub members: Vec<Member>,
    /// Shard holders that changed recently.
    pub holdings: Vec<Holding>,
    pub confirmation: Confirmation,
    pub suspicions: Vec<Suspicion>,
}

impl Heartbeat {
    /// Most entries of each list, so that a heartbeat's size does not grow with the fleet.
    pub const MAX_ENTRIES: usize = 32;
}
