use crate::config::Role;
use crate::units::{EndpointId, Pieces};

/// An endpoint's state in the owner's ledger.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct EndpointStatus {
    pub endpoint: EndpointId,
    pub role: Role,
    pub in_service: bool,
    /// Answered the last probe and has not died since.
    pub is_up: bool,
    pub used_slots: u32,
    /// Slots that warm-up allows now.
    pub slot_limit: u32,
    /// Always zero on a prefill endpoint.
    pub used_pieces: Pieces,
}
