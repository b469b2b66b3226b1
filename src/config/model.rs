//! Contents of the document's sections.

use std::collections::BTreeMap;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::pool::Class;
use crate::units::{
    EndpointId, KeyHash, ModelId, OrganisationId, Pieces, RegionId, Tokens, TokensPerSecond, ZoneId,
};

/// The whole document. Each member is a section that a team owns.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub teams: BTreeMap<SmolStr, Team>,
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    pub rates: BTreeMap<OrganisationId, Rate>,
    pub zones: BTreeMap<ZoneId, Zone>,
    pub models: BTreeMap<ModelId, Model>,
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    pub routes: Vec<Route>,
}

/// A team of operators.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    pub credential_sha256: KeyHash,
    /// Sections that the team may edit. Each section has exactly one team.
    pub sections: Vec<SmolStr>,
}

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

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    pub sha256: KeyHash,
}

/// Token bucket of an organisation, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    pub rate_tokens_per_s: TokensPerSecond,
    pub burst_tokens: Tokens,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub region: RegionId,
    #[serde(default)]
    pub state: ServiceState,
}

/// Whether new work may go to an availability zone or an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    #[default]
    In,
    Out,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub max_prompt_tokens: Tokens,
    pub max_output_tokens: Tokens,
    /// Tokens whose KV cache fits one piece of engine memory.
    pub tokens_per_piece: Tokens,
    /// KV cache of one token, for the schedule of the links.
    pub kv_bytes_per_token: u64,
    /// Time to compute the KV cache of one token, on a warm engine.
    pub prefill_us_per_token: u64,
    /// Least number of bytes of prompt text that make one token. Gives an upper bound of a
    /// prompt's tokens before an engine has counted them.
    pub min_bytes_per_token: u64,
}

/// A back end: a model engine or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Endpoint {
    Engine(EngineEndpoint),
    Plain(PlainEndpoint),
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEndpoint {
    pub address: SmolStr,
    pub zone: ZoneId,
    pub role: Role,
    pub model: ModelId,
    #[serde(default)]
    pub slice: u32,
    pub pieces: Pieces,
    /// Requests that run at a time.
    pub slots: u32,
    pub link_bytes_per_s: u64,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    #[serde(default)]
    pub state: ServiceState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    #[display("prefill")]
    Prefill,
    #[display("decode")]
    Decode,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainEndpoint {
    pub address: SmolStr,
    pub zone: ZoneId,
    /// Name of the service that routes refer to.
    pub service: SmolStr,
    #[serde(default)]
    pub state: ServiceState,
}

/// Maps a path to the model pools or to a plain service. The longest matching prefix wins.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub path: SmolStr,
    pub target: Target,
    #[serde(default)]
    pub class: Class,
    /// Open to callers without a key.
    #[serde(default)]
    pub open: bool,
}

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

/// Whether a call to a plain service may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    Idempotent,
    AtMostOnce,
}
