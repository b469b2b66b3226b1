use smol_str::SmolStr;

use crate::units::{EndpointId, FencingToken};

/// A reserved pair.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub prefill: EndpointId,
    pub prefill_address: SmolStr,
    pub decode: EndpointId,
    pub decode_address: SmolStr,
    /// Wait before the prefill starts, so that its result meets a free decode slot and link.
    pub start_after_ms: u64,
    /// A transfer that takes longer has stalled.
    pub transfer_limit_ms: u64,
    pub fencing: FencingToken,
    pub free_slots: u32,
}
