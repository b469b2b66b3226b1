use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::Repeat;

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// The request names its model.
    Models,
    Service {
        service: SmolStr,
        repeat: Repeat,
    },
}
