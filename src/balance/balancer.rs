use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;

use rand::Rng;

use crate::balance::{EndpointState, Load, PeerLoad, Placement, PlacementError};
use crate::catalog::{Endpoint, EndpointChange, EndpointRole, EngineProperties};
use crate::clock::Instant;
use crate::units::{EndpointId, ServiceId, ZoneId};

/// Time to read one prompt token before any endpoint was measured, in ms. The order of magnitude
/// of engines with eight accelerators.
const DEFAULT_TOKEN_MS: f64 = 0.04;
/// A decode engine reads a prompt at half the speed of a prefill engine.
const DECODE_READ_FACTOR: f64 = 2.0;
/// Time of a plain answer before any endpoint was measured.
const DEFAULT_ANSWER_MS: f64 = 60.0;
/// Expected wait that is accepted to stay in a zone.
const OTHER_ZONE_MS: f64 = 25.0;
/// Expected time that equally good endpoints may differ by, so that instances with the same view
/// do not all choose the same one.
const SPREAD_MS: f64 = 4.0;
/// Further expected time of an endpoint whose answers are all errors.
const ERROR_MS: f64 = 600.0;
/// Part of the cold rate that is used; the rest covers sends that arrive bunched.
const COLD_PART: f64 = 0.8;

/// A prompt to be read.
#[derive(Clone, Copy, Debug)]
pub struct PrefillQuery<'a> {
    pub service: &'a ServiceId,
    pub prompt_tokens: u64,
    pub excluded: &'a [EndpointId],
}

/// A generation to be run.
#[derive(Clone, Copy, Debug)]
pub struct DecodeQuery<'a> {
    pub service: &'a ServiceId,
    /// Prompt and longest output.
    pub memory_tokens: u64,
    /// Prompt tokens that the decode engine has to read itself.
    pub prompt_tokens: u64,
    /// Part of the engines' memory that may be filled.
    pub fill_part: f64,
    /// Zone of the engine that holds the KV cache.
    pub preferred_zone: Option<&'a ZoneId>,
    pub engine: EngineProperties,
    pub excluded: &'a [EndpointId],
}

/// Endpoints, their loads, and the choice between them.
#[derive(Debug)]
pub struct Balancer {
    zone: ZoneId,
    endpoints: HashMap<EndpointId, EndpointState>,
    by_service: HashMap<ServiceId, Vec<EndpointId>>,
    zones_out_of_service: HashSet<ZoneId>,
    peers: HashMap<IpAddr, Vec<PeerLoad>>,
    /// Sends a second to a cold endpoint that all instances may make, by service.
    cold_rates: HashMap<ServiceId, f64>,
    /// Instances that share limits.
    instances: usize,
}

impl Balancer {
    pub fn new(zone: ZoneId) -> Balancer {
        Balancer {
            zone,
            endpoints: HashMap::new(),
            by_service: HashMap::new(),
            zones_out_of_service: HashSet::new(),
            peers: HashMap::new(),
            cold_rates: HashMap::new(),
            instances: 1,
        }
    }

    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    pub fn instances(&self) -> usize {
        self.instances
    }

    pub fn set_zones_out_of_service(&mut self, zones: HashSet<ZoneId>) {
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
            let is_same_run = known.endpoint.started_unix_ms == endpoint.started_unix_ms;
            if is_same_run && known.endpoint.service == endpoint.service {
                if known.endpoint.role != endpoint.role {
                    known.role_change_until = Instant::default();
                }
                known.endpoint = Rc::clone(endpoint);
                return;
            }
        }
        self.remove(&endpoint.id);
        self.remove_former(endpoint);
        let state = EndpointState::new(Rc::clone(endpoint));
        self.by_service.entry(endpoint.service.clone()).or_default().push(endpoint.id.clone());
        self.endpoints.insert(endpoint.id.clone(), state);
    }

    /// Removes the endpoint that had the address before. Its entry lapses only some seconds later.
    fn remove_former(&mut self, endpoint: &Endpoint) {
        let former = self.endpoints.values().filter(|state| {
            state.endpoint.address == endpoint.address
                && state.endpoint.started_unix_ms <= endpoint.started_unix_ms
        });
        let former: Vec<EndpointId> = former.map(|state| state.endpoint.id.clone()).collect();
        for id in former {
            log::info!(target: "balance", endpoint = id.as_str(),
                successor = endpoint.id.as_str(); "address taken over");
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &EndpointId) {
        if let Some(state) = self.endpoints.remove(id)
            && let Some(ids) = self.by_service.get_mut(&state.endpoint.service)
        {
            ids.retain(|known| known != id);
        }
    }

    pub fn endpoint(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    pub fn endpoint_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(id)
    }

    /// Whether an endpoint that was chosen earlier may still get work.
    pub fn is_in_service(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|state| {
            !state.endpoint.is_leaving && !self.zones_out_of_service.contains(&state.endpoint.zone)
        })
    }

    /// Endpoints of a service that may get work.
    pub fn in_service<'a>(
        &'a self,
        service: &ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let states = ids.iter().filter_map(|id| self.endpoints.get(id));
        states.filter(move |state| {
            self.is_in_service(&state.endpoint.id) && now >= state.role_change_until
        })
    }

    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Notes that a request was sent to an endpoint.
    pub fn start_request(&mut self, id: &EndpointId, load: &Load, now: Instant) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.local_load.add(load);
            state.record_send(now);
        }
    }

    /// Notes that a running request takes more than was told at its begin.
    pub fn increase_load(&mut self, id: &EndpointId, more: &Load) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.local_load.add(more);
        }
    }

    /// Notes that a part of a request's work at an endpoint has ended.
    pub fn release_load(&mut self, id: &EndpointId, load: &Load) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.local_load.subtract(load);
        }
    }

    /// Replaces what a peer told of its requests.
    pub fn set_peer_loads(&mut self, peer: IpAddr, loads: Vec<PeerLoad>, now: Instant) {
        let before = self.peers.insert(peer, loads.clone()).unwrap_or_default();
        let mut by_key: HashMap<u32, (Load, Load, u16)> = HashMap::new();
        for told in before {
            by_key.entry(told.endpoint_key).or_default().0 = told.load;
        }
        for told in loads {
            let entry = by_key.entry(told.endpoint_key).or_default();
            entry.1 = told.load;
            entry.2 = told.avoid_ms;
        }
        for state in self.endpoints.values_mut() {
            let Some((before, after, avoid_ms)) = by_key.get(&state.key) else { continue };
            state.peer_load.subtract(before);
            state.peer_load.add(after);
            if *avoid_ms > 0 {
                state.health.record_peer_failure(u64::from(*avoid_ms), now);
            }
        }
    }

    /// Forgets the requests of a peer that is gone.
    pub fn remove_peer(&mut self, peer: IpAddr, now: Instant) {
        self.set_peer_loads(peer, Vec::new(), now);
        self.peers.remove(&peer);
    }

    /// What peers need to know of this instance's requests.
    pub fn local_loads(&self, now: Instant) -> Vec<PeerLoad> {
        let told = self.endpoints.values().filter_map(|state| {
            let avoid_ms = state.avoid_ms(now).min(u64::from(u16::MAX)) as u16;
            let is_told = !state.local_load.is_empty() || avoid_ms > 0;
            is_told.then_some(PeerLoad {
                endpoint_key: state.key,
                load: state.local_load,
                avoid_ms,
            })
        });
        told.collect()
    }

    /// Chooses an endpoint of a plain service: the one with the least expected time.
    pub fn choose_plain(
        &mut self,
        service: &ServiceId,
        excluded: &[EndpointId],
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        let usual_ms =
            self.average(service, |state| state.average_unit_ms()).unwrap_or(DEFAULT_ANSWER_MS);
        let usual_errors =
            self.average(service, |state| Some(state.health.error_rate())).unwrap_or(0.0);
        let zone = self.zone.clone();
        self.choose(service, None, excluded, now, move |state| {
            let load = state.load();
            let slots = f64::from(state.endpoint.slots.max(1));
            let own_ms = state.average_unit_ms().unwrap_or(usual_ms);
            let turns = 1.0 + f64::from(load.requests) / slots;
            let queued = (f64::from(load.requests) + 1.0 - slots).max(0.0) / slots;
            let is_near = state.endpoint.zone == zone;
            let errors = (state.health.error_rate() - 2.0 * usual_errors).max(0.0);
            let away_ms = if is_near { 0.0 } else { OTHER_ZONE_MS };
            Some(own_ms * (turns + queued) + away_ms + ERROR_MS * errors)
        })
    }

    /// Chooses a prefill engine: the one that is expected to have read the prompt first.
    pub fn choose_prefill(
        &mut self,
        query: &PrefillQuery<'_>,
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        let usual_ms = self.prefill_ms_per_token(query.service);
        let zone = self.zone.clone();
        let role = Some(EndpointRole::Prefill);
        self.choose(query.service, role, query.excluded, now, |state| {
            let token_ms = state.average_unit_ms().unwrap_or(usual_ms);
            let ahead = state.load().prompt_tokens + query.prompt_tokens;
            let away_ms = if state.endpoint.zone == zone { 0.0 } else { OTHER_ZONE_MS };
            let errors = ERROR_MS * state.health.error_rate();
            Some(ahead as f64 * token_ms + away_ms + errors)
        })
    }

    /// Chooses a decode engine with memory for the whole generation.
    pub fn choose_decode(
        &mut self,
        query: &DecodeQuery<'_>,
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        let token_ms = self.prefill_ms_per_token(query.service) * DECODE_READ_FACTOR;
        let zone = query.preferred_zone.unwrap_or(&self.zone).clone();
        let capacity = query.engine.kv_capacity.get() as f64 * query.fill_part;
        let slots = f64::from(query.engine.slots.max(1));
        let role = Some(EndpointRole::Decode);
        self.choose(query.service, role, query.excluded, now, |state| {
            let load = state.load();
            let memory = (load.memory_tokens + query.memory_tokens) as f64;
            // A request larger than the part that is filled is tried at an engine that has no other.
            let fits = memory <= capacity || load.requests == 0;
            let is_refused = !state.fits_since_rejection(query.memory_tokens, now);
            if !fits || is_refused || f64::from(load.requests) >= slots {
                return None;
            }
            let away_ms = if state.endpoint.zone == zone { 0.0 } else { OTHER_ZONE_MS };
            let reading_ms = (load.prompt_tokens + query.prompt_tokens) as f64 * token_ms;
            let crowding_ms = 100.0 * memory / capacity;
            let slowness = state.average_unit_ms().unwrap_or(0.0);
            let errors = ERROR_MS * state.health.error_rate();
            Some(reading_ms + crowding_ms + slowness + away_ms + errors)
        })
    }

    /// Usual time in which a prefill engine reads a token.
    pub fn prefill_ms_per_token(&self, service: &ServiceId) -> f64 {
        let measured = self.average(service, |state| {
            let is_prefill = state.endpoint.role == Some(EndpointRole::Prefill);
            if is_prefill { state.average_unit_ms() } else { None }
        });
        measured.unwrap_or(DEFAULT_TOKEN_MS)
    }

    fn average(
        &self,
        service: &ServiceId,
        figure: impl Fn(&EndpointState) -> Option<f64>,
    ) -> Option<f64> {
        let ids = self.by_service.get(service)?;
        let figures = ids.iter().filter_map(|id| self.endpoints.get(id)).filter_map(figure);
        let (count, sum) = figures.fold((0_u32, 0.0), |(count, sum), one| (count + 1, sum + one));
        (count > 0).then(|| sum / f64::from(count))
    }

    /// The endpoint with the least score, in ms. `score` is `None` for an endpoint that is full.
    fn choose(
        &mut self,
        service: &ServiceId,
        role: Option<EndpointRole>,
        excluded: &[EndpointId],
        now: Instant,
        score: impl Fn(&EndpointState) -> Option<f64>,
    ) -> Result<Placement, PlacementError> {
        let ids = self.by_service.get(service).ok_or(PlacementError::NoEndpoint)?;
        let cold_limit = self
            .cold_rates
            .get(service)
            .map(|per_s| (per_s * COLD_PART / self.instances as f64).max(1.0));
        let mut rng = rand::rng();
        let mut best: Option<(f64, f64, &EndpointId)> = None;
        let mut shortage = PlacementError::NoEndpoint;
        for id in ids {
            let Some(state) = self.endpoints.get_mut(id) else { continue };
            let endpoint = &state.endpoint;
            let is_out = endpoint.is_leaving
                || endpoint.role != role
                || self.zones_out_of_service.contains(&endpoint.zone)
                || excluded.contains(id)
                || now < state.role_change_until;
            if is_out {
                continue;
            }
            if state.health.is_avoided(now) {
                if shortage == PlacementError::NoEndpoint {
                    let until = now.plus_ms(state.health.local_avoid_ms(now).max(50));
                    shortage = PlacementError::AllAvoided { until };
                }
                continue;
            }
            let is_tried = state.health.is_half_open() && state.local_load.requests > 0;
            let is_cold_full = state.is_cold(now)
                && cold_limit.is_some_and(|limit| state.cold_sends(now) as f64 >= limit);
            if is_tried || is_cold_full || now < state.backoff_until {
                shortage = PlacementError::AllFull;
                continue;
            }
            let Some(expected_ms) = score(state) else {
                shortage = PlacementError::AllFull;
                continue;
            };
            let trial_ms = if state.health.is_half_open() { ERROR_MS / 4.0 } else { 0.0 };
            let rank = expected_ms + trial_ms + rng.random_range(0.0..SPREAD_MS);
            if best.is_none_or(|(least, ..)| rank < least) {
                best = Some((rank, expected_ms, id));
            }
        }
        let (_, expected_ms, id) = best.ok_or(shortage)?;
        let endpoint = Rc::clone(&self.endpoints[id].endpoint);
        Ok(Placement { endpoint, expected_ms: expected_ms as u64 })
    }
}
