use crate::balance::IncarnationKey;
use crate::clock::Instant;

/// The end of an endpoint's process while it had a request whose answer had not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEnd {
    pub process: IncarnationKey,
    pub ended_at: Instant,
    /// Whether an answer to a request with the same part has begun since. An endpoint that ends under
    /// a part never begins an answer on it, so something else was the cause.
    pub is_excused: bool,
}
