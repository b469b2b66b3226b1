use std::collections::BTreeMap;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::{Endpoint, Model, Organisation, Rate, Route, Team, Zone};
use crate::units::{EndpointId, ModelId, OrganisationId, ZoneId};

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
