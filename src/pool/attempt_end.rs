/// How an attempt ended.
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
