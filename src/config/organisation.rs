use std::collections::BTreeMap;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::Key;

/// A customer whose callers use keys.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Keys by name.
    #[serde(default)]
    pub keys: BTreeMap<SmolStr, Key>,
    /// Share of an endpoint's capacity relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
