//! Messages of a renewal: the sub-holder of a region asks the holder of a budget shard for parts.

use super::share::Share;
use crate::lease::Holding;
use crate::units::{FencingToken, OrganisationId, RegionId, Tokens, TokensPerSecond};

/// Names all parts that the region has. What is not named, the region does not have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRequest {
    pub region: RegionId,
    /// Of the budget shard's lease that the sub-holder knew. A later holder refuses the request,
    /// because the region's state may have changed under the one that it was meant for.
    pub holder_fencing: FencingToken,
    /// Of the region's lease. A request of an earlier sub-holder is stale.
    pub fencing: FencingToken,
    /// A sub-holder applies only the answer to its last request.
    pub sequence: u64,
    pub held: Vec<HeldPart>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldPart {
    pub organisation: OrganisationId,
    /// In force in the region now.
    pub share: Share,
    /// Share of the burst that outstanding grants take up. It exceeds `share` for a while after
    /// the share was lowered.
    pub used: Share,
    pub demand: TokensPerSecond,
    /// Largest draw since the last request.
    pub need_tokens: Tokens,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartAnswer {
    Parts(GrantedParts),
    NotHolder(Option<Holding>),
    /// The request was overtaken by a later one of the region.
    Stale,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedParts {
    /// Of the budget shard's lease. An answer of an earlier holder is ignored.
    pub fencing: FencingToken,
    /// Counted by the sub-holder from the moment it made the request.
    pub time_to_live_ms: u64,
    pub shares: Vec<(OrganisationId, Share)>,
}
