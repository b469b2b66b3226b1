use serde::Deserialize;
use smol_str::SmolStr;

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    pub revision: SmolStr,
    /// Bytes that an engine reads from the weight store to load the adapter.
    #[serde(default)]
    pub weights_bytes: u64,
}
