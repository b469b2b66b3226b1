use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::Repeat;

/// Destination of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// The pool of the model named in the request.
    Models,
    Service {
        service: SmolStr,
        repeat: Repeat,
    },
}
