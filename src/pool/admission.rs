//! Messages between a gateway and the owner of a pool.

use smol_str::SmolStr;

use crate::lease::Holding;
use crate::units::{
    AttemptId, EndpointId, Fencing, Fingerprint, OrganisationId, Pieces, ShardId, Tokens, ZoneId,
};

/// Asks the pool's owner for a prefill and decode pair.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    pub attempt: AttemptId,
    pub organisation: OrganisationId,
    pub shard: ShardId,
    pub prompt_tokens: Tokens,
    pub max_output_tokens: Tokens,
    /// Hashes of the prompt's prefixes, shortest first, salted with the organisation.
    pub prefix_hashes: Vec<u64>,
    pub class: Class,
    /// Remaining time of the caller's deadline.
    pub remaining_ms: u64,
    /// Longest time in the owner's queue.
    pub queue_ms: u64,
    pub fingerprint: Fingerprint,
    /// The request ran on an endpoint when that died.
    pub is_suspect: bool,
    /// Endpoints that failed this request already.
    pub avoid: Vec<EndpointId>,
    /// Zone of the asking gateway.
    pub zone: ZoneId,
}

/// Priority class of a route.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    #[default]
    #[display("interactive")]
    Interactive,
    #[display("waiting")]
    Waiting,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitAnswer {
    Plan(Plan),
    Full {
        retry_after_ms: u64,
        free_slots: u32,
    },
    NotHolder(Option<Holding>),
    /// No endpoint of the pool is in service for this request.
    NoEndpoint,
}

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
    pub fencing: Fencing,
    pub free_slots: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AttemptEnd {
    Completed,
    Cancelled,
    Failed,
    /// The endpoint's process died under the attempt.
    EndpointDied,
    /// The prefill result was lost before the decode endpoint had it.
    PrefillWasted,
}

/// Tells the owner that an attempt has ended, and what it showed of the endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedAttempt {
    pub attempt: AttemptId,
    pub end: AttemptEnd,
    /// The endpoint that failed.
    pub endpoint: Option<EndpointId>,
    pub output_tokens: Tokens,
    pub first_token_ms: u64,
    pub decode_ms: u64,
}

/// A live attempt, as its gateway reports it each second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    pub attempt: AttemptId,
    pub output_tokens: Tokens,
    pub organisation: OrganisationId,
    pub prefill: EndpointId,
    pub decode: EndpointId,
    pub pieces: Pieces,
    /// Remaining time of the caller's deadline.
    pub remaining_ms: u64,
}
