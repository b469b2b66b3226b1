use serde::Deserialize;

use crate::config::Keys;

/// A customer organisation and its API keys.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Keys by name.
    #[serde(default)]
    pub keys: Keys,
    /// Share of an endpoint's capacity relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
