use serde::{Deserialize, Serialize};

/// Phase of model requests that an engine executes.
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
