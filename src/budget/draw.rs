//! Messages of a draw: an instance asks the holder of an organisation's budget for tokens.

use crate::clock::Instant;
use crate::lease::Holding;
use crate::units::{Incarnation, InstanceId, OrganisationId, Tokens};

/// Asks for tokens and settles earlier grants in the same message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawRequest {
    pub organisation: OrganisationId,
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    /// Tokens that waiting requests need now.
    pub need_tokens: Tokens,
    /// Tokens wanted on top, for the next requests.
    pub want_tokens: Tokens,
    /// Spent from live grants since the last acknowledged draw.
    pub spent_tokens: Tokens,
    /// Unspent tokens given back from live grants.
    pub returned_tokens: Tokens,
    pub refunds: Vec<Refund>,
    /// A repeated number gets the same answer again.
    pub sequence: u64,
}

/// Gives back tokens that a finished request was charged but did not use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refund {
    /// Holder's time of the grant that the tokens came from.
    pub granted_at: Instant,
    pub tokens: Tokens,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrawAnswer {
    Granted(Grant),
    NotHolder(Option<Holding>),
    UnknownOrganisation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    pub tokens: Tokens,
    pub granted_at: Instant,
    /// Counted by the receiver from the moment it sent the draw.
    pub time_to_live_ms: u64,
    /// When more tokens are expected, if fewer were granted than needed.
    pub retry_after_ms: u64,
}
