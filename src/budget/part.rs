//! Messages of a renewal: the regional holder requests its parts from the holder of a budget shard.

use super::share::Share;
use crate::lease::Holding;
use crate::units::{FencingToken, OrganisationId, RegionId, Tokens, TokensPerSecond};

/// Lists all parts of the region. The region has no part of an organisation that is not listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRequest {
    pub region: RegionId,
    /// Fencing token of the budget shard's holder that the request is meant for. A later holder
    /// refuses the request, because the region's state may have changed since the request was
    /// built.
    pub holder_fencing: FencingToken,
    /// Fencing token of the region's lease. Requests of earlier regional holders are stale.
    pub fencing: FencingToken,
    /// The regional holder applies only the answer to its last request.
    pub sequence: u64,
    pub held: Vec<HeldPart>,
}

/// State of the part of one organisation, as reported by a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldPart {
    pub organisation: OrganisationId,
    /// The share currently in force in the region.
    pub share: Share,
    /// Share of the burst taken by outstanding grants. It may exceed `share` for a while after the
    /// share was lowered.
    pub used: Share,
    pub demand: TokensPerSecond,
    /// Largest need of a single draw since the last request.
    pub need_tokens: Tokens,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartAnswer {
    Parts(GrantedParts),
    NotHolder(Option<Holding>),
    /// A later request of the region has already been answered.
    Stale,
}

/// Shares given to a region for a limited time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedParts {
    /// Fencing token of the budget shard's lease. Answers of earlier holders are ignored.
    pub fencing: FencingToken,
    /// Measured by the regional holder from the time it built the request.
    pub time_to_live_ms: u64,
    pub shares: Vec<(OrganisationId, Share)>,
}
