use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::ServiceState;
use crate::units::ZoneId;

/// A server of a plain (non-model) HTTP service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainEndpoint {
    pub address: SmolStr,
    pub zone: ZoneId,
    /// Name of the service, as referenced by routes.
    pub service: SmolStr,
    #[serde(default)]
    pub state: ServiceState,
}
