/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AttemptEnd {
    Completed,
    Cancelled,
    Failed,
    /// The endpoint's process crashed while the attempt was running on it.
    EndpointDied,
    /// The prefill result was lost before the decode endpoint received it.
    PrefillWasted,
}
