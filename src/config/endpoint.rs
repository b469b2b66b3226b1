use serde::Deserialize;

use crate::config::{EngineEndpoint, PlainEndpoint};

/// A backend server: a model engine or a server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Endpoint {
    Engine(EngineEndpoint),
    Plain(PlainEndpoint),
}
