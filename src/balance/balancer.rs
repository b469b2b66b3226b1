//! Endpoints of all services and what is known of each.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::Ipv4Addr;
use std::rc::Rc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;

use crate::balance::{
    ColdTurns, EndpointNotice, EndpointState, IncarnationKey, IncarnationMarks, LoadSource,
    PeerLoad, PeerRejection,
};
use crate::catalog::{Endpoint, EndpointChange};
use crate::clock::Instant;
use crate::units::{EndpointId, ServiceId, ZoneId};

/// Tracks endpoints and their load, and chooses an endpoint for each request.
#[derive(Debug)]
pub struct Balancer {
    pub(super) zone: ZoneId,
    pub(super) endpoints: HashMap<EndpointId, EndpointState>,
    /// Endpoints by the key that identifies them in messages between instances.
    pub(super) by_key: HashMap<u32, EndpointId>,
    pub(super) by_service: HashMap<ServiceId, Vec<EndpointId>>,
    /// Services that the configuration names; `None` if all are taken to be named.
    pub(super) named_services: Option<HashSet<ServiceId>>,
    pub(super) zones_out_of_service: HashSet<ZoneId>,
    pub(super) reported: HashMap<LoadSource, Vec<PeerLoad>>,
    /// Arrival times of the newest reports of zones.
    pub(super) zone_reports: HashMap<SmolStr, Instant>,
    /// Requests per second that all instances together may send to a cold endpoint, by service.
    pub(super) cold_rates: HashMap<ServiceId, f64>,
    /// Number of instances that share the retry limits.
    pub(super) instances: usize,
    pub(super) cold_turns: ColdTurns,
    /// Whether the pace of endpoints that start or recover is found from their answers.
    pub(super) is_paced: bool,
    /// Whether endpoints that appear now have just started.
    knows_endpoints: bool,
    pub(super) marks: IncarnationMarks,
    pub(super) rng: StdRng,
}

impl Balancer {
    pub fn new(zone: ZoneId) -> Balancer {
        Balancer::with_rng(zone, StdRng::from_os_rng())
    }

    /// Creates a balancer whose choices repeat with the same seed of `rng`.
    pub fn with_rng(zone: ZoneId, rng: StdRng) -> Balancer {
        Balancer {
            zone,
            endpoints: HashMap::new(),
            by_key: HashMap::new(),
            by_service: HashMap::new(),
            named_services: None,
            zones_out_of_service: HashSet::new(),
            reported: HashMap::new(),
            zone_reports: HashMap::new(),
            cold_rates: HashMap::new(),
            instances: 1,
            cold_turns: ColdTurns::default(),
            is_paced: false,
            knows_endpoints: false,
            marks: IncarnationMarks::default(),
            rng,
        }
    }

    /// Sets the instances that share the rates of cold endpoints.
    pub fn set_cold_turns(&mut self, own: Ipv4Addr, peers: impl IntoIterator<Item = Ipv4Addr>) {
        self.cold_turns.set_fleet(own, peers);
    }

    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    pub fn instances(&self) -> usize {
        self.instances
    }

    /// Sets whether the pace of endpoints that start or recover is found from their answers. Where
    /// the configuration gives cold rates, these are kept instead.
    pub fn set_paced(&mut self, is_paced: bool) {
        self.is_paced = is_paced;
    }

    /// Takes endpoints that appear from now on for new ones. Those that are known when an instance
    /// starts may have run for long.
    pub fn set_endpoints_known(&mut self) {
        self.knows_endpoints = true;
    }

    /// Sets the services that the configuration names. An endpoint of another service may claim the
    /// address of one that is in use, so it replaces that one only when its service is named.
    pub fn set_named_services(&mut self, named: HashSet<ServiceId>) {
        let endpoints = self.endpoints.values().map(|state| &state.endpoint);
        let newly_named = endpoints.filter(|endpoint| {
            !self.is_named(&endpoint.service) && named.contains(&endpoint.service)
        });
        let mut newly_named: Vec<Rc<Endpoint>> = newly_named.cloned().collect();
        newly_named.sort_by_key(|endpoint| std::cmp::Reverse(endpoint.started_unix_ms));
        self.named_services = Some(named);
        for endpoint in newly_named {
            if self.endpoints.contains_key(&endpoint.id) {
                self.remove_predecessor(&endpoint);
            }
        }
    }

    fn is_named(&self, service: &ServiceId) -> bool {
        self.named_services.as_ref().is_none_or(|named| named.contains(service))
    }

    pub fn set_zones_out_of_service(&mut self, zones: HashSet<ZoneId>) {
        for state in self.endpoints.values_mut() {
            let zone = &state.endpoint.zone;
            state.is_returning |= self.zones_out_of_service.contains(zone) && !zones.contains(zone);
        }
        self.zones_out_of_service = zones;
    }

    pub fn set_cold_rate(&mut self, service: ServiceId, per_s: Option<f64>) {
        match per_s {
            Some(per_s) => self.cold_rates.insert(service, per_s),
            None => self.cold_rates.remove(&service),
        };
    }

    pub fn apply(&mut self, change: &EndpointChange) {
        match change {
            EndpointChange::Set(endpoint) => self.set(endpoint),
            EndpointChange::Removed(id) => self.remove(id),
        }
    }

    fn set(&mut self, endpoint: &Rc<Endpoint>) {
        if let Some(known) = self.endpoints.get_mut(&endpoint.id) {
            let is_same_process = known.endpoint.started_unix_ms == endpoint.started_unix_ms;
            if is_same_process && known.endpoint.service == endpoint.service {
                if known.endpoint.role != endpoint.role {
                    known.is_returning = true;
                    known.role_change_until = Instant::default();
                }
                known.endpoint = Rc::clone(endpoint);
                return;
            }
        }
        self.remove(&endpoint.id);
        self.remove_predecessor(endpoint);
        let mut state = EndpointState::new(Rc::clone(endpoint));
        state.has_left_notice = self.marks.is_leaving(&state.incarnation);
        state.pause(self.marks.paused_until(&state.incarnation));
        state.is_returning = self.knows_endpoints;
        self.by_service.entry(endpoint.service.clone()).or_default().push(endpoint.id.clone());
        self.by_key.insert(state.key, endpoint.id.clone());
        self.endpoints.insert(endpoint.id.clone(), state);
    }

    /// Removes the endpoint that used the address before. Its entry expires only some seconds
    /// later.
    fn remove_predecessor(&mut self, endpoint: &Endpoint) {
        if !self.is_named(&endpoint.service) {
            return;
        }
        let predecessors = self.endpoints.values().filter(|state| {
            state.endpoint.address == endpoint.address
                && state.endpoint.id != endpoint.id
                && state.endpoint.started_unix_ms <= endpoint.started_unix_ms
        });
        let predecessors: Vec<EndpointId> =
            predecessors.map(|state| state.endpoint.id.clone()).collect();
        for id in predecessors {
            log::info!(target: "balance", endpoint = id.as_str(),
                successor = endpoint.id.as_str();
                "endpoint replaced: new process at the same address");
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &EndpointId) {
        let Some(state) = self.endpoints.remove(id) else { return };
        self.by_key.remove(&state.key);
        if let Some(ids) = self.by_service.get_mut(&state.endpoint.service) {
            ids.retain(|known| known != id);
        }
    }

    pub(super) fn endpoint_by_key(&mut self, key: u32) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(self.by_key.get(&key)?)
    }

    pub fn endpoint(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    pub fn endpoint_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(id)
    }

    /// Whether an endpoint that was chosen earlier may still receive requests. Another process under
    /// the same id is another endpoint.
    pub fn may_receive(&self, chosen: &Endpoint, now: Instant) -> bool {
        self.endpoints.get(&chosen.id).is_some_and(|state| {
            state.endpoint.started_unix_ms == chosen.started_unix_ms
                && self.is_in_service(state)
                && !state.is_paused(now)
        })
    }

    pub(super) fn is_in_service(&self, state: &EndpointState) -> bool {
        !state.is_leaving() && !self.zones_out_of_service.contains(&state.endpoint.zone)
    }

    /// Applies what a response of an endpoint says about it. Returns whether the endpoint is now
    /// known to be leaving and was not before.
    pub fn apply_notice(
        &mut self,
        endpoint: &Endpoint,
        notice: &EndpointNotice,
        now: Instant,
    ) -> bool {
        let paused_until = notice.paused_until(now);
        if !notice.is_leaving && paused_until.is_none() {
            return false;
        }
        let key = IncarnationKey::new(endpoint);
        if let Some(until) = paused_until {
            self.marks.record_pause(key, until, now);
        }
        let is_new = notice.is_leaving && self.marks.record_leaving(key, now);
        if let Some(state) = self.endpoints.get_mut(&endpoint.id)
            && state.incarnation == key
        {
            state.has_left_notice |= notice.is_leaving;
            if let Some(until) = paused_until {
                state.pause(until);
            }
        }
        is_new
    }

    /// Whether a process of an endpoint has announced that it is leaving.
    pub fn has_left_notice(&self, endpoint: &Endpoint) -> bool {
        self.marks.is_leaving(&IncarnationKey::new(endpoint))
    }

    /// Whether a process of an endpoint has asked for no requests at this time.
    pub fn is_paused(&self, endpoint: &Endpoint, now: Instant) -> bool {
        now < self.marks.paused_until(&IncarnationKey::new(endpoint))
    }

    /// Records endpoints that have told a peer that they are leaving. Returns the new ones.
    pub fn record_peer_leaving(
        &mut self,
        keys: &[IncarnationKey],
        now: Instant,
    ) -> Vec<Rc<Endpoint>> {
        let mut leaving = Vec::new();
        for key in keys {
            if !self.marks.record_peer_leaving(*key, now) {
                continue;
            }
            if let Some(state) = self.endpoints.values_mut().find(|s| s.incarnation == *key) {
                state.has_left_notice = true;
                leaving.push(Rc::clone(&state.endpoint));
            }
        }
        leaving
    }

    /// Leaving endpoints to tell peers of.
    pub fn reported_leaving(&self, now: Instant) -> Vec<IncarnationKey> {
        self.marks.reported_leaving(now)
    }

    /// Number of processes of endpoints that are known to be leaving from their responses.
    pub fn leaving_count(&self) -> usize {
        self.marks.leaving_count()
    }

    /// Tells peers of all leaving endpoints again, because one of them has just started.
    pub fn report_leaving_again(&mut self, now: Instant) {
        self.marks.report_all(now);
    }

    /// Records the rejections that a peer has met.
    pub fn record_peer_rejections(&mut self, rejections: &[PeerRejection], now: Instant) {
        for rejection in rejections {
            if let Some(state) = self.endpoint_by_key(rejection.endpoint_key) {
                state.acceptance.record_peer(rejection.percent, now);
            }
        }
    }

    /// Endpoints that reject many requests of this instance, as reported to peers.
    pub fn local_rejections(&self, now: Instant) -> Vec<PeerRejection> {
        let rejecting = self.endpoints.values().filter_map(|state| {
            let percent = state.acceptance.reported_percent(now)?;
            Some(PeerRejection { endpoint_key: state.key, percent })
        });
        rejecting.collect()
    }

    /// Endpoints of a service that may receive requests.
    pub fn in_service<'a>(
        &'a self,
        service: &ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let states = ids.iter().filter_map(|id| self.endpoints.get(id));
        states.filter(move |state| self.is_in_service(state) && now >= state.role_change_until)
    }

    /// Services that have had an endpoint.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.by_service.keys()
    }

    /// Endpoints of a service by version.
    pub fn versions(&self, service: &ServiceId) -> BTreeMap<SmolStr, usize> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut versions = BTreeMap::new();
        for state in ids.iter().filter_map(|id| self.endpoints.get(id)) {
            *versions.entry(state.endpoint.version.clone()).or_default() += 1;
        }
        versions
    }

    /// Requests of this instance that run at endpoints of a service of other versions than
    /// `version`.
    pub fn local_requests_except(&self, service: &ServiceId, version: &SmolStr) -> u32 {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let states = ids.iter().filter_map(|id| self.endpoints.get(id));
        let others = states.filter(|state| state.endpoint.version != *version);
        others.map(|state| state.local_load.requests).sum()
    }

    /// Number of endpoints whose pace is being found.
    pub fn paced_count(&self) -> usize {
        self.endpoints.values().filter(|state| state.pace.limit().is_some()).count()
    }

    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
