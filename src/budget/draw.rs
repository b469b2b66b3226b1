//! Messages of a draw: an instance requests tokens from the holder of an organisation's budget.

use crate::clock::Instant;
use crate::lease::Holding;
use crate::units::{Incarnation, InstanceId, OrganisationId, Tokens};

/// Requests tokens and settles earlier grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawRequest {
    pub organisation: OrganisationId,
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    /// Tokens that waiting requests need immediately.
    pub need_tokens: Tokens,
    /// Further tokens wanted for upcoming requests.
    pub want_tokens: Tokens,
    /// Tokens of live grants spent since the last acknowledged draw.
    pub spent_tokens: Tokens,
    /// Unspent tokens of live grants that are returned.
    pub returned_tokens: Tokens,
    pub refunds: Vec<Refund>,
    /// A draw that repeats a sequence number gets the same answer again.
    pub sequence: u64,
}

/// Returns tokens that were charged to a request but not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refund {
    /// Holder time that decides how much of the refund is credited: see
    /// `ChargePortion::refund_time`.
    pub granted_at: Instant,
    pub tokens: Tokens,
}

/// Answer to a draw. `NotHolder` names the holder if it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrawAnswer {
    Granted(Grant),
    NotHolder(Option<Holding>),
    UnknownOrganisation,
}

/// Tokens that an instance may spend within a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    pub tokens: Tokens,
    pub granted_at: Instant,
    /// Measured by the receiver from the time it sent the draw.
    pub time_to_live_ms: u64,
    /// Expected wait for more tokens, if fewer were granted than needed.
    pub retry_after_ms: u64,
}
