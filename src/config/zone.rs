use serde::Deserialize;

use crate::config::ServiceState;
use crate::units::RegionId;

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub region: RegionId,
    #[serde(default)]
    pub state: ServiceState,
}
