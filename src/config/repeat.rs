use serde::Deserialize;

/// Whether a call to a plain service may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    Idempotent,
    AtMostOnce,
}
