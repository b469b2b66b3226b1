use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::Target;
use crate::pool::PriorityClass;

/// Maps a path prefix to the model pools or to a plain service. The longest matching prefix wins.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub path: SmolStr,
    pub target: Target,
    #[serde(default)]
    pub class: PriorityClass,
    /// Whether callers without a key are allowed.
    #[serde(default)]
    pub open: bool,
}
