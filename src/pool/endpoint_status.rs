use smol_str::SmolStr;

use crate::config::Role;
use crate::units::{EndpointId, Pieces};

/// An endpoint's state in the owner's ledger.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct EndpointStatus {
    pub endpoint: EndpointId,
    /// Role that the engine has, or is expected to have until it reports its own.
    pub role: Role,
    pub wanted_role: Role,
    /// What the engine is still to be ordered, before it has what the document wants.
    pub next_order: Option<SmolStr>,
    /// Gets no work because of a change.
    pub is_changing: bool,
    pub waits_for: Option<SmolStr>,
    /// Why the last order failed.
    pub failure: Option<SmolStr>,
    pub in_service: bool,
    /// Answered the last probe and has not died since.
    pub is_up: bool,
    pub used_slots: u32,
    /// Slots that warm-up allows now.
    pub slot_limit: u32,
    /// Always zero on a prefill endpoint.
    pub used_pieces: Pieces,
}
