use serde::Deserialize;
use smol_str::SmolStr;

/// An adapter that engines load in addition to the model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    pub revision: SmolStr,
    /// Bytes read from the weight store to load the adapter.
    #[serde(default)]
    pub weights_bytes: u64,
}
