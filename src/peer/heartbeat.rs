use crate::config::Confirmation;
use crate::lease::Holding;
use crate::peer::{Digest, Member, encode};
use crate::suspect::SuspectRecord;

/// The message that neighbours exchange once a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Without addresses, zone and region if the receiver knows them.
    pub sender: Member,
    /// Records of members that changed recently or were requested.
    pub members: Vec<Member>,
    /// Liveness of the known members.
    pub digest: Digest,
    /// Keys of members whose records the sender requests.
    pub wanted: Vec<u32>,
    /// Whether the sender requests all members and holders, because it has just started.
    pub wants_all: bool,
    /// Shard holders, mainly those that changed recently.
    pub holdings: Vec<Holding>,
    pub confirmation: Confirmation,
    pub suspect_records: Vec<SuspectRecord>,
}

impl Heartbeat {
    /// Maximum number of entries in each list, so that the size of a heartbeat does not grow with
    /// the fleet.
    pub const MAX_ENTRIES: usize = 32;

    /// Encoded length, without the envelope of the call or its answer.
    pub fn encoded_bytes(&self) -> usize {
        let mut message = capnp::message::Builder::new_default();
        encode::heartbeat(message.init_root(), self);
        let mut packed = Vec::new();
        capnp::serialize_packed::write_message(&mut packed, &message).map_or(0, |()| packed.len())
    }
}
