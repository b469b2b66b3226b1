use bytes::Bytes;
use derive_more::Display;
use hyper::{HeaderMap, Method};
use smol_str::SmolStr;

use crate::units::PromptPartId;

/// A caller's request with the fields that determine how it is routed.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Attempt id chosen by the caller. Endpoints return it in their responses.
    pub attempt: SmolStr,
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub target: SmolStr,
    pub host: SmolStr,
    pub key: Option<SmolStr>,
    /// How long the caller waits for the response, measured from the arrival of the request.
    pub wait_ms: Option<u64>,
    /// Headers to forward to the endpoint, without hop-by-hop headers and headers that only
    /// instances set.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Size of the generation; `None` if the request carries no token counts.
    pub generation: Option<Generation>,
}

impl CallerRequest {
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }
}

/// What the caller tells of a generation: token counts and the parts of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Display)]
#[display("{prompt_tokens}+{}/{max_output_tokens}", expected_output_tokens.unwrap_or(0))]
pub struct Generation {
    pub prompt_tokens: u64,
    pub max_output_tokens: u64,
    /// The caller's estimate of the output length. Its median is accurate, but single values are
    /// often far off.
    pub expected_output_tokens: Option<u64>,
    /// Id of the last event that the caller received; the stream resumes after it.
    pub last_event: Option<u64>,
    /// Parts of the prompt that other requests may have too, in order.
    pub shared_parts: Vec<PromptPartId>,
}
