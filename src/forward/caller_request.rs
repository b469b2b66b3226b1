use bytes::Bytes;
use derive_more::Display;
use hyper::{HeaderMap, Method};
use smol_str::SmolStr;

/// A caller's request, with what decides about its way.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The caller's name for this attempt. Endpoints echo it.
    pub attempt: SmolStr,
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub target: SmolStr,
    pub host: SmolStr,
    pub key: Option<SmolStr>,
    /// Time that the caller waits, from the arrival of the request.
    pub wait_ms: Option<u64>,
    /// Headers for the endpoint; none that concern a connection or that only instances set.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What the caller tells of a generation.
    pub generation: Option<Generation>,
}

impl CallerRequest {
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }
}

/// Size of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Display)]
#[display("{prompt_tokens}+{}/{max_output_tokens}", expected_output_tokens.unwrap_or(0))]
pub struct Generation {
    pub prompt_tokens: u64,
    pub max_output_tokens: u64,
    /// The caller's guess at the output, right at the median but often far off.
    pub expected_output_tokens: Option<u64>,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
}
