use smol_str::SmolStr;

use crate::config::Role;
use crate::units::{EndpointId, Pieces};

/// The pool owner's view of an endpoint, for the status API.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct EndpointStatus {
    pub endpoint: EndpointId,
    /// Role that the engine last reported, or the configured role until it reports one.
    pub role: Role,
    pub wanted_role: Role,
    /// Next order needed to bring the engine to its configured state.
    pub next_order: Option<SmolStr>,
    /// Whether the endpoint gets no work because a change is in progress.
    pub is_changing: bool,
    /// What a due change is waiting for.
    pub waits_for: Option<SmolStr>,
    /// Error of the last order.
    pub failure: Option<SmolStr>,
    pub in_service: bool,
    /// Whether the endpoint answered the last probe and has not crashed since.
    pub is_up: bool,
    pub used_slots: u32,
    /// Slots that the warm-up currently allows.
    pub slot_limit: u32,
    /// Always zero for a prefill endpoint.
    pub used_pieces: Pieces,
}
