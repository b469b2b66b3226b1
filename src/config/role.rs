use serde::{Deserialize, Serialize};

/// Half of a request that an engine runs.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    #[display("prefill")]
    Prefill,
    #[display("decode")]
    Decode,
}
