use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use crate::catalog::{Endpoint, OperatorRow, RowDecoder, ServiceConfiguration};
use crate::clock::{Clock, Instant};
use crate::replica::{Replica, RowChange};
use crate::units::{EndpointId, ZoneId};

/// Time for which an endpoint stays in use after its entry lapsed without a notice. Entries also
/// lapse during an outage of the store, and are written again within about 2 s of its end; an
/// endpoint that left must get nothing 2 s after its entry went.
const LAPSE_MS: u64 = 1_300;
/// The same if reads of the store have failed lately. Below 2 s, since an instance cannot tell an
/// outage of the store from one of its own connections.
const LAPSE_IN_OUTAGE_MS: u64 = 1_600;

/// A change to an endpoint that the request path has to follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    Set(Rc<Endpoint>),
    Removed(EndpointId),
}

/// The newest configuration and endpoints that are known.
pub struct Catalog<D, C> {
    decoder: D,
    clock: C,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    configuration: Option<Rc<ServiceConfiguration>>,
    zones_out_of_service: HashSet<ZoneId>,
    endpoints: HashMap<EndpointId, Rc<Endpoint>>,
    /// Endpoints without an entry, with the end of their use.
    lapsed: HashMap<EndpointId, Instant>,
    has_endpoints: bool,
}

impl<D: RowDecoder, C: Clock> Catalog<D, C> {
    pub fn new(decoder: D, clock: C) -> Catalog<D, C> {
        Catalog { decoder, clock, state: RefCell::default() }
    }

    pub fn configuration(&self) -> Option<Rc<ServiceConfiguration>> {
        self.state.borrow().configuration.clone()
    }

    /// Whether requests can be routed: a configuration and the list of endpoints are known.
    pub fn is_complete(&self) -> bool {
        let state = self.state.borrow();
        state.configuration.is_some() && state.has_endpoints
    }

    pub fn zones_out_of_service(&self) -> HashSet<ZoneId> {
        self.state.borrow().zones_out_of_service.clone()
    }

    /// Takes over the operators' rows that changed.
    pub fn apply_operator_rows(&self, replica: &Replica, changes: &[RowChange]) {
        let mut state = self.state.borrow_mut();
        if changes.iter().any(|change| change.value.is_none()) {
            state.zones_out_of_service.clear();
            for (key, value) in replica.rows() {
                if let Ok(OperatorRow::ZoneOutOfService(zone)) =
                    self.decoder.operator_row(key, value)
                {
                    state.zones_out_of_service.insert(zone);
                }
            }
        }
        for change in changes {
            let Some(value) = &change.value else {
                log::info!(target: "catalog", key = change.key.as_str(); "operator row removed");
                continue;
            };
            match self.decoder.operator_row(&change.key, value) {
                Ok(OperatorRow::Configuration(configuration)) => {
                    log::info!(target: "catalog", version = configuration.version().0,
                        row_version = change.version; "configuration in force");
                    state.configuration = Some(Rc::new(*configuration));
                }
                Ok(OperatorRow::ZoneOutOfService(zone)) => {
                    log::info!(target: "catalog", zone = zone.as_str(); "zone out of service");
                    state.zones_out_of_service.insert(zone);
                }
                Ok(OperatorRow::Other) => {}
                Err(error) => log::warn!(target: "catalog", "{error}; row ignored"),
            }
        }
    }

    /// Takes over the endpoints' rows that changed and returns what that means for requests.
    pub fn apply_endpoint_rows(
        &self,
        changes: &[RowChange],
        is_store_steady: bool,
    ) -> Vec<EndpointChange> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.has_endpoints = true;
        let lapse_ms = if is_store_steady { LAPSE_MS } else { LAPSE_IN_OUTAGE_MS };
        let mut effects = Vec::new();
        for change in changes {
            let id = EndpointId::new(change.key.clone());
            let Some(value) = &change.value else {
                let Some(known) = state.endpoints.get(&id) else { continue };
                if known.is_leaving {
                    state.endpoints.remove(&id);
                    effects.push(EndpointChange::Removed(id));
                } else {
                    state.lapsed.entry(id).or_insert(now.plus_ms(lapse_ms));
                }
                continue;
            };
            match self.decoder.endpoint(&change.key, value, now) {
                Ok(endpoint) => {
                    state.lapsed.remove(&id);
                    let endpoint = Rc::new(endpoint);
                    log::info!(target: "catalog", endpoint = id.as_str(),
                        address = endpoint.address.to_string().as_str(),
                        leaving = endpoint.is_leaving, role = format!("{:?}", endpoint.role).as_str();
                        "endpoint entry");
                    state.endpoints.insert(id, Rc::clone(&endpoint));
                    effects.push(EndpointChange::Set(endpoint));
                }
                Err(error) => {
                    log::warn!(target: "catalog", "{error}; entry ignored");
                    if state.endpoints.remove(&id).is_some() {
                        effects.push(EndpointChange::Removed(id));
                    }
                }
            }
        }
        effects
    }

    /// Endpoints whose entries lapsed and did not come back in time.
    pub fn take_expired(&self) -> Vec<EndpointChange> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let ended: Vec<EndpointId> = state
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ended {
            state.lapsed.remove(id);
            state.endpoints.remove(id);
            log::info!(target: "catalog", endpoint = id.as_str(); "endpoint gone");
        }
        ended.into_iter().map(EndpointChange::Removed).collect()
    }
}
