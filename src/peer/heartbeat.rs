use crate::config::Confirmation;
use crate::lease::Holding;
use crate::peer::{Digest, Member, encode};
use crate::suspect::SuspectRecord;

/// Exchanged once a second with each neighbour.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Without its addresses, zone and region when the receiver knows them.
    pub sender: Member,
    /// Members that changed recently or were asked for.
    pub members: Vec<Member>,
    /// Live members.
    pub digest: Digest,
    /// Keys of members whose records the sender asks for.
    pub wanted: Vec<u32>,
    /// Whether the sender asks for all members and holders, because it has just started.
    pub wants_all: bool,
    /// Shard holders that changed recently.
    pub holdings: Vec<Holding>,
    pub confirmation: Confirmation,
    pub suspect_records: Vec<SuspectRecord>,
}

impl Heartbeat {
    /// Most entries of each list, so that a heartbeat's size does not grow with the fleet.
    pub const MAX_ENTRIES: usize = 32;

    /// Length on the wire, without the call's or the answer's envelope.
    pub fn encoded_bytes(&self) -> usize {
        let mut message = capnp::message::Builder::new_default();
        encode::heartbeat(message.init_root(), self);
        let mut packed = Vec::new();
        capnp::serialize_packed::write_message(&mut packed, &message).map_or(0, |()| packed.len())
    }
}
