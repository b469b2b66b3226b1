//! Validation of the whole document, including references between sections.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use smol_str::{SmolStr, ToSmolStr};

use crate::config::{
    Document, Endpoint, EngineEndpoint, Finding, Role, SECTIONS, Severity, Target, WEIGHT_STORE,
};
use crate::jsonc::{JsoncError, PositionIndex, Step, may_have_duplicate_members, read_jsonc};
use crate::units::{KeyHash, ModelId, RegionId};

/// Parses and validates a document. Returns all findings, and the document unless a finding is an
/// error.
pub fn check_document(text: &str) -> (Option<Document>, Vec<Finding>) {
    let error = |at| Finding::new(Severity::Error, at);
    let document = match read_jsonc(text) {
        Ok(document) => document,
        Err(at) => {
            let at = PositionIndex::parse(text).err().unwrap_or(at);
            return (None, vec![error(at)]);
        }
    };
    let mut checker =
        Checker { document: &document, text, positions: OnceCell::new(), findings: Vec::new() };
    if may_have_duplicate_members(text) {
        match PositionIndex::parse(text) {
            Ok(positions) => {
                checker.findings = positions.duplicate_members().into_iter().map(error).collect();
                let _ = checker.positions.set(positions);
            }
            Err(at) => return (None, vec![error(at)]),
        }
    }
    checker.run();
    let mut findings = checker.findings;
    findings.sort_by_key(|f| (f.line, f.column));
    let accepted = !findings.iter().any(Finding::is_error);
    (accepted.then_some(document), findings)
}

use Step::{Index, Member};

pub(super) struct Checker<'a> {
    pub(super) document: &'a Document,
    text: &'a str,
    /// Built for the first finding only: the index of a long document takes more than 20 MB, and
    /// most documents have no findings.
    positions: OnceCell<PositionIndex<'a>>,
    findings: Vec<Finding>,
}

impl<'a> Checker<'a> {
    fn run(&mut self) {
        self.check_teams();
        self.check_keys();
        self.check_rates();
        self.check_models();
        self.check_loads();
        self.check_endpoints();
        self.check_pools();
        self.check_routes();
    }

    fn error_at(&self, path: &[Step], message: String) -> JsoncError {
        let positions = self.positions.get_or_init(|| PositionIndex::parse_or_empty(self.text));
        positions.error_at(path, message)
    }

    pub(super) fn error(&mut self, path: &[Step], message: String) {
        let at = self.error_at(path, message);
        self.findings.push(Finding::new(Severity::Error, at));
    }

    pub(super) fn warning(&mut self, path: &[Step], message: String) {
        let at = self.error_at(path, message);
        self.findings.push(Finding::new(Severity::Warning, at));
    }

    fn require_positive(&mut self, path: &[Step], sizes: &[(&str, u64)]) {
        for (name, size) in sizes {
            if *size == 0 {
                let path = [path, &[Member(name)]].concat();
                self.error(&path, format!("{name}: expected a number above 0"));
            }
        }
    }

    fn check_teams(&mut self) {
        let mut owners: HashMap<SmolStr, SmolStr> = HashMap::new();
        let mut credentials: HashMap<KeyHash, SmolStr> = HashMap::new();
        for (name, team) in &self.document.teams {
            let at = [Member("teams"), Member(name)];
            if let Some(other) = credentials.insert(team.credential_sha256, name.clone()) {
                let path = [&at[..], &[Member("credential_sha256")]].concat();
                self.error(&path, format!("expected a credential other than team {other}'s"));
            }
            for (index, section) in team.sections.iter().enumerate() {
                let path = [&at[..], &[Member("sections"), Index(index)]].concat();
                if !SECTIONS.contains(&section.as_str()) {
                    let known = SECTIONS.join(", ");
                    self.error(&path, format!("section {section}: expected one of {known}"));
                } else if let Some(other) = owners.insert(section.clone(), name.clone()) {
                    let message = format!("section {section}: expected one team, {other} owns it");
                    self.error(&path, message);
                }
            }
        }
        for section in SECTIONS.iter().filter(|s| !owners.contains_key(**s)) {
            let message = format!("section {section}: expected a team that owns it");
            self.error(&[Member("teams")], message);
        }
    }

    fn check_keys(&mut self) {
        let mut seen: HashMap<KeyHash, SmolStr> = HashMap::new();
        for (id, organisation) in self.document.organisations.iter() {
            let at = [Member("organisations"), Member(id.as_str())];
            self.require_positive(&at, &[("weight", organisation.weight.into())]);
            for (name, key) in organisation.keys.iter() {
                if let Some(other) = seen.insert(key.sha256, format!("{id}/{name}").into()) {
                    let path = [&at[..], &[Member("keys"), Member(name)]].concat();
                    let message = format!("key {id}/{name}: expected another hash than {other}'s");
                    self.error(&path, message);
                }
            }
            if !self.document.rates.contains_key(id) {
                self.error(&at, format!("organisation {id}: expected a member {id} in rates"));
            }
        }
    }

    fn check_rates(&mut self) {
        let largest = self.document.models.iter().max_by_key(|(_, m)| m.max_request_tokens());
        for (id, rate) in self.document.rates.iter() {
            let at = [Member("rates"), Member(id.as_str())];
            // Only a warning: an edit replaces one section, so the rate of a new organisation must
            // be added before the organisation.
            let is_weight_store = id.as_str() == WEIGHT_STORE;
            if !is_weight_store && !self.document.organisations.contains_key(id) {
                self.warning(&at, format!("rate of {id}: expected a member {id} in organisations"));
            }
            let (per_s, burst) = (rate.rate_tokens_per_s.get(), rate.burst_tokens);
            self.require_positive(
                &at,
                &[("rate_tokens_per_s", per_s), ("burst_tokens", burst.get())],
            );
            if let Some((model, sizes)) = largest
                && !is_weight_store
                && burst.get() > 0
                && burst < sizes.max_request_tokens()
            {
                let largest = sizes.max_request_tokens();
                let path = [&at[..], &[Member("burst_tokens")]].concat();
                let message = format!(
                    "burst of {id}: {burst} is less than the {largest} tokens of the largest \
                     request of model {model}; such requests are always refused"
                );
                self.warning(&path, message);
            }
        }
    }

    fn check_models(&mut self) {
        for (id, model) in &self.document.models {
            let sizes = [
                ("max_prompt_tokens", model.max_prompt_tokens.get()),
                ("max_output_tokens", model.max_output_tokens.get()),
                ("tokens_per_piece", model.tokens_per_piece.get()),
                ("kv_bytes_per_token", model.kv_bytes_per_token),
                ("prefill_us_per_token", model.prefill_us_per_token),
                ("min_bytes_per_token", model.min_bytes_per_token),
            ];
            self.require_positive(&[Member("models"), Member(id.as_str())], &sizes);
        }
    }

    fn check_endpoints(&mut self) {
        for (id, endpoint) in self.document.endpoints.iter() {
            let at = [Member("endpoints"), Member(id.as_str())];
            let zone = match endpoint {
                Endpoint::Engine(engine) => {
                    self.check_engine(&at, engine);
                    &engine.zone
                }
                Endpoint::Plain(plain) => &plain.zone,
            };
            if !self.document.zones.contains_key(zone) {
                let known = join_names(self.document.zones.keys());
                let path = [&at[..], &[Member("zone")]].concat();
                self.error(&path, format!("zone {zone}: expected one of zones: {known}"));
            }
        }
    }

    fn check_engine(&mut self, at: &[Step], engine: &EngineEndpoint) {
        if !self.document.models.contains_key(&engine.model) {
            let known = join_names(self.document.models.keys());
            let path = [at, &[Member("model")]].concat();
            self.error(&path, format!("model {}: expected one of models: {known}", engine.model));
        }
        let sizes = [
            ("pieces", engine.pieces.get()),
            ("slots", engine.slots.into()),
            ("link_bytes_per_s", engine.link_bytes_per_s),
        ];
        self.require_positive(at, &sizes);
    }

    /// Reports pools without prefill or without decode endpoints, which cannot serve requests.
    fn check_pools(&mut self) {
        type Slice<'a> = (&'a RegionId, &'a ModelId, u32);
        let mut pools: BTreeMap<Slice, (&str, BTreeSet<SmolStr>)> = BTreeMap::new();
        for (id, endpoint) in self.document.endpoints.iter() {
            let Endpoint::Engine(engine) = endpoint else { continue };
            let Some(zone) = self.document.zones.get(&engine.zone) else { continue };
            let slice = (&zone.region, &engine.model, engine.slice);
            let (_, roles) = pools.entry(slice).or_insert((id.as_str(), BTreeSet::new()));
            roles.insert(engine.role.to_smolstr());
        }
        for ((region, model, slice), (first, roles)) in pools {
            for role in [Role::Prefill, Role::Decode] {
                if !roles.contains(role.to_smolstr().as_str()) {
                    let message = format!(
                        "pool {region}/{model}/{slice}: expected endpoints of both roles, \
                         none has role {role}"
                    );
                    self.error(&[Member("endpoints"), Member(first)], message);
                }
            }
        }
    }

    fn check_routes(&mut self) {
        let services: BTreeSet<SmolStr> = self
            .document
            .endpoints
            .values()
            .filter_map(|endpoint| match endpoint {
                Endpoint::Plain(plain) => Some(plain.service.clone()),
                Endpoint::Engine(_) => None,
            })
            .collect();
        let mut paths = HashMap::new();
        for (index, route) in self.document.routes.iter().enumerate() {
            let at = [Member("routes"), Index(index)];
            if let Some(first) = paths.insert(route.path.clone(), index) {
                let path = [&at[..], &[Member("path")]].concat();
                let message =
                    format!("path {}: expected one route; route {first} has it too", route.path);
                self.error(&path, message);
            }
            if let Target::Service { service, .. } = &route.target
                && !services.contains(service)
            {
                let path =
                    [&at[..], &[Member("target"), Member("service"), Member("service")]].concat();
                let known = join_names(services.iter());
                let message =
                    format!("service {service}: expected a service of endpoints: {known}");
                self.error(&path, message);
            }
        }
    }
}

fn join_names<T: ToString>(names: impl Iterator<Item = T>) -> String {
    names.map(|name| name.to_string()).collect::<Vec<_>>().join(", ")
}
