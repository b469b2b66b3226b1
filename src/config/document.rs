use std::collections::BTreeMap;
use std::rc::Rc;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::{Endpoint, Model, Organisation, Rate, Route, Team, Zone};
use crate::jsonc::{JsoncError, read_jsonc};
use crate::units::{EndpointId, ModelId, OrganisationId, ZoneId};

/// The parsed configuration document. Each field is a section that one team owns. Large sections
/// are reference-counted, so that versions share them while they are unchanged.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub teams: BTreeMap<SmolStr, Team>,
    pub organisations: Rc<BTreeMap<OrganisationId, Organisation>>,
    pub rates: Rc<BTreeMap<OrganisationId, Rate>>,
    pub zones: BTreeMap<ZoneId, Zone>,
    pub models: BTreeMap<ModelId, Model>,
    pub endpoints: Rc<BTreeMap<EndpointId, Endpoint>>,
    pub routes: Vec<Route>,
}

impl Document {
    /// Returns a copy of the document with one section parsed from `text`, which costs much less
    /// than parsing the whole document.
    pub(super) fn with_section(&self, name: &str, text: &str) -> Result<Document, JsoncError> {
        let mut document = self.clone();
        match name {
            "teams" => document.teams = read_jsonc(text)?,
            "organisations" => document.organisations = read_jsonc(text)?,
            "rates" => document.rates = read_jsonc(text)?,
            "zones" => document.zones = read_jsonc(text)?,
            "models" => document.models = read_jsonc(text)?,
            "endpoints" => document.endpoints = read_jsonc(text)?,
            "routes" => document.routes = read_jsonc(text)?,
            _ => return Err(JsoncError::at_offset(text, 0, "expected a section of the document")),
        }
        Ok(document)
    }
}
