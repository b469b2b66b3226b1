use smol_str::SmolStr;

use crate::units::{EndpointId, FencingToken};

/// The prefill and decode endpoints reserved for an attempt, and its schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub prefill: EndpointId,
    pub prefill_address: SmolStr,
    pub decode: EndpointId,
    pub decode_address: SmolStr,
    /// Delay before the prefill starts, so that a decode slot and the link are free when its result
    /// is ready.
    pub start_after_ms: u64,
    /// Time after which a transfer counts as stalled.
    pub transfer_limit_ms: u64,
    pub fencing: FencingToken,
    pub free_slots: u32,
}
