use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use crate::catalog::{Endpoint, OperatorRow, RowDecoder, ServiceConfiguration};
use crate::clock::{Clock, Instant};
use crate::replica::{Replica, RowChange};
use crate::rollout::RolloutOrder;
use crate::units::{EndpointId, ServiceId, ZoneId};

/// Grace period in which an endpoint stays in use after its entry expired without a prior leave
/// notice. Entries also expire during an outage of the store and are written again within about 2 s
/// of its end; an endpoint that left must get no requests later than 2 s after its entry was
/// removed.
const EXPIRY_GRACE_MS: u64 = 1_300;
/// Grace period if reads of the store have failed recently. Below 2 s, because an instance cannot
/// distinguish an outage of the store from one of its own connections.
const OUTAGE_EXPIRY_GRACE_MS: u64 = 1_600;

/// A change to an endpoint that the request path has to apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    Set(Rc<Endpoint>),
    Removed(EndpointId),
}

/// The latest known configuration and endpoints, kept up to date from rows of the store.
pub struct Catalog<D, C> {
    decoder: D,
    clock: C,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    configuration: Option<Rc<ServiceConfiguration>>,
    zones_out_of_service: HashSet<ZoneId>,
    /// The newest order of each service, with the version of its row. One whose row is removed is
    /// kept, since the roll-out may be half done.
    rollout_orders: HashMap<ServiceId, (RolloutOrder, u64)>,
    endpoints: HashMap<EndpointId, Rc<Endpoint>>,
    /// Endpoints whose entry has expired, with the end of their grace period.
    expiring: HashMap<EndpointId, Instant>,
    /// Whether the endpoints have been read at least once.
    has_endpoints: bool,
}

impl<D: RowDecoder, C: Clock> Catalog<D, C> {
    pub fn new(decoder: D, clock: C) -> Catalog<D, C> {
        Catalog { decoder, clock, state: RefCell::default() }
    }

    pub fn configuration(&self) -> Option<Rc<ServiceConfiguration>> {
        self.state.borrow().configuration.clone()
    }

    /// Whether requests can be routed, that is, the configuration and the endpoints are known.
    pub fn is_complete(&self) -> bool {
        let state = self.state.borrow();
        state.configuration.is_some() && state.has_endpoints
    }

    pub fn zones_out_of_service(&self) -> HashSet<ZoneId> {
        self.state.borrow().zones_out_of_service.clone()
    }

    /// The newest order of each service to roll out a version, with the version of its row.
    pub fn rollout_orders(&self) -> Vec<(RolloutOrder, u64)> {
        self.state.borrow().rollout_orders.values().cloned().collect()
    }

    /// Applies changed rows of operators.
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
                        row_version = change.version; "configuration applied");
                    state.configuration = Some(Rc::new(*configuration));
                }
                Ok(OperatorRow::ZoneOutOfService(zone)) => {
                    log::info!(target: "catalog", zone = zone.as_str(); "zone out of service");
                    state.zones_out_of_service.insert(zone);
                }
                Ok(OperatorRow::Rollout(order)) => {
                    state.rollout_orders.insert(order.service.clone(), (order, change.version));
                }
                Ok(OperatorRow::Other) => {}
                Err(error) => log::warn!(target: "catalog", "{error}; row ignored"),
            }
        }
    }

    /// Applies changed rows of endpoints and returns the resulting changes for the request path.
    pub fn apply_endpoint_rows(
        &self,
        changes: &[RowChange],
        is_store_steady: bool,
    ) -> Vec<EndpointChange> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.has_endpoints = true;
        let grace_ms = if is_store_steady { EXPIRY_GRACE_MS } else { OUTAGE_EXPIRY_GRACE_MS };
        let mut endpoint_changes = Vec::new();
        for change in changes {
            let id = EndpointId::new(change.key.clone());
            let Some(value) = &change.value else {
                let Some(known) = state.endpoints.get(&id) else { continue };
                if known.is_leaving {
                    state.endpoints.remove(&id);
                    endpoint_changes.push(EndpointChange::Removed(id));
                } else {
                    state.expiring.entry(id).or_insert(now.plus_ms(grace_ms));
                }
                continue;
            };
            match self.decoder.endpoint(&change.key, value, now) {
                Ok(endpoint) => {
                    state.expiring.remove(&id);
                    let endpoint = Rc::new(endpoint);
                    log::info!(target: "catalog", endpoint = id.as_str(),
                        address = endpoint.address.to_string().as_str(),
                        leaving = endpoint.is_leaving,
                        role = format!("{:?}", endpoint.role).as_str();
                        "endpoint entry applied");
                    state.endpoints.insert(id, Rc::clone(&endpoint));
                    endpoint_changes.push(EndpointChange::Set(endpoint));
                }
                Err(error) => {
                    log::warn!(target: "catalog", "{error}; entry ignored");
                    if state.endpoints.remove(&id).is_some() {
                        endpoint_changes.push(EndpointChange::Removed(id));
                    }
                }
            }
        }
        endpoint_changes
    }

    /// Removes and returns the endpoints whose grace period has passed.
    pub fn take_expired(&self) -> Vec<EndpointChange> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let removed: Vec<EndpointId> = state
            .expiring
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &removed {
            state.expiring.remove(id);
            state.endpoints.remove(id);
            log::info!(target: "catalog", endpoint = id.as_str();
                "endpoint removed: entry expired");
        }
        removed.into_iter().map(EndpointChange::Removed).collect()
    }
}
