//! Choice of the endpoint for a request by expected completion time.

use std::rc::Rc;

use rand::Rng;

use crate::balance::{
    ANY_VERSION, Balancer, ColdTurns, EndpointState, Placement, PlacementError, VersionFilter,
};
use crate::catalog::{EndpointRole, EngineProperties};
use crate::clock::Instant;
use crate::units::{EndpointId, ServiceId, ZoneId};

/// Prefill time per prompt token until a measurement exists. Typical for an engine with eight
/// accelerators.
const DEFAULT_PREFILL_MS_PER_TOKEN: f64 = 0.04;
/// A decode engine processes a prompt at half the speed of a prefill engine.
const DECODE_PREFILL_TIME_FACTOR: f64 = 2.0;
/// Prompt length for which the time of a prefill is estimated where no request is at hand.
const TYPICAL_PROMPT_TOKENS: f64 = 3_000.0;
/// Response time of a plain service until a measurement exists.
const DEFAULT_RESPONSE_MS: f64 = 60.0;
/// Score penalty of an endpoint in another zone: the extra expected time that is accepted to stay
/// within the zone.
const CROSS_ZONE_PENALTY_MS: f64 = 25.0;
/// Upper bound of the random jitter added to each score, so that instances with the same view do
/// not all choose the same endpoint.
const SCORE_JITTER_MS: f64 = 4.0;
/// Score penalty of an endpoint that answers every request with an error; scales with the error
/// rate.
const ERROR_PENALTY_MS: f64 = 600.0;
/// Score penalty of an endpoint that rejects every request; scales with the fraction of rejected
/// requests.
const REJECTION_PENALTY_MS: f64 = 100.0;

/// Input for choosing a prefill engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefillQuery<'a> {
    pub service: &'a ServiceId,
    pub prompt_tokens: u64,
    pub excluded: &'a [EndpointId],
    pub versions: &'a VersionFilter,
}

/// Input for choosing a decode engine.
#[derive(Clone, Copy, Debug)]
pub struct DecodeQuery<'a> {
    pub service: &'a ServiceId,
    /// KV cache memory for the prompt and the expected output.
    pub memory_tokens: u64,
    /// Prompt tokens that the decode engine has to prefill itself.
    pub prompt_tokens: u64,
    /// Fraction of an engine's KV cache memory that may be reserved; above 1 it is overcommitted.
    pub fill_fraction: f64,
    /// Zone of the engine that holds the prompt's KV cache.
    pub preferred_zone: Option<&'a ZoneId>,
    pub engine: EngineProperties,
    pub excluded: &'a [EndpointId],
    pub versions: &'a VersionFilter,
}

impl Balancer {
    /// Chooses the endpoint of a plain service with the lowest expected response time.
    pub fn choose_plain(
        &mut self,
        service: &ServiceId,
        excluded: &[EndpointId],
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        self.choose_plain_version(service, &ANY_VERSION, excluded, now)
    }

    /// Chooses among the endpoints of some versions, as `choose_plain` does.
    pub fn choose_plain_version(
        &mut self,
        service: &ServiceId,
        versions: &VersionFilter,
        excluded: &[EndpointId],
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        let default_ms =
            self.average(service, |state| state.average_unit_ms()).unwrap_or(DEFAULT_RESPONSE_MS);
        let average_error_rate =
            self.average(service, |state| Some(state.health.error_rate())).unwrap_or(0.0);
        let zone = self.zone.clone();
        self.choose(service, None, (versions, excluded), now, move |state| {
            let load = state.load();
            let slots = f64::from(state.endpoint.slots.max(1));
            let service_ms = state.average_unit_ms().unwrap_or(default_ms);
            let service_rounds = 1.0 + f64::from(load.requests) / slots;
            let queued = (f64::from(load.requests) + 1.0 - slots).max(0.0) / slots;
            let is_same_zone = state.endpoint.zone == zone;
            let excess_error_rate = (state.health.error_rate() - 2.0 * average_error_rate).max(0.0);
            let zone_penalty_ms = if is_same_zone { 0.0 } else { CROSS_ZONE_PENALTY_MS };
            Some(
                service_ms * (service_rounds + queued)
                    + zone_penalty_ms
                    + ERROR_PENALTY_MS * excess_error_rate,
            )
        })
    }

    /// Chooses the prefill engine that is expected to finish the prompt first.
    pub fn choose_prefill(
        &mut self,
        query: &PrefillQuery<'_>,
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        let default_ms = self.prefill_ms_per_token(query.service);
        let zone = self.zone.clone();
        let role = Some(EndpointRole::Prefill);
        self.choose(query.service, role, (query.versions, query.excluded), now, |state| {
            let token_ms = state.average_unit_ms().unwrap_or(default_ms);
            let pending_tokens = state.load().prompt_tokens + query.prompt_tokens;
            let zone_penalty_ms =
                if state.endpoint.zone == zone { 0.0 } else { CROSS_ZONE_PENALTY_MS };
            let error_penalty_ms = ERROR_PENALTY_MS * state.health.error_rate();
            Some(pending_tokens as f64 * token_ms + zone_penalty_ms + error_penalty_ms)
        })
    }

    /// Chooses a decode engine with enough memory for the whole generation.
    pub fn choose_decode(
        &mut self,
        query: &DecodeQuery<'_>,
        now: Instant,
    ) -> Result<Placement, PlacementError> {
        let token_ms = self.prefill_ms_per_token(query.service) * DECODE_PREFILL_TIME_FACTOR;
        let zone = query.preferred_zone.unwrap_or(&self.zone).clone();
        let capacity = query.engine.kv_capacity.get() as f64 * query.fill_fraction;
        let slots = f64::from(query.engine.slots.max(1));
        let role = Some(EndpointRole::Decode);
        self.choose(query.service, role, (query.versions, query.excluded), now, |state| {
            let load = state.load();
            let memory = (load.memory_tokens + query.memory_tokens) as f64;
            // A request above the usable capacity may still run on an engine without other
            // requests.
            let fits = memory <= capacity || load.requests == 0;
            let is_rejected = !state.fits_since_rejection(query.memory_tokens, now);
            if !fits || is_rejected || f64::from(load.requests) >= slots {
                return None;
            }
            let zone_penalty_ms =
                if state.endpoint.zone == zone { 0.0 } else { CROSS_ZONE_PENALTY_MS };
            let prefill_ms = (load.prompt_tokens + query.prompt_tokens) as f64 * token_ms;
            let memory_penalty_ms = 100.0 * memory / capacity;
            let latency_ms = state.average_unit_ms().unwrap_or(0.0);
            let error_penalty_ms = ERROR_PENALTY_MS * state.health.error_rate();
            Some(prefill_ms + memory_penalty_ms + latency_ms + zone_penalty_ms + error_penalty_ms)
        })
    }

    /// Average time per prompt token over the prefill engines of a service.
    pub fn prefill_ms_per_token(&self, service: &ServiceId) -> f64 {
        let measured = self.average(service, |state| {
            let is_prefill = state.endpoint.role == Some(EndpointRole::Prefill);
            if is_prefill { state.average_unit_ms() } else { None }
        });
        measured.unwrap_or(DEFAULT_PREFILL_MS_PER_TOKEN)
    }

    /// Times that the endpoints of a service and role usually take for a unit of work, if measured,
    /// and for a response.
    fn usual_times(&self, service: &ServiceId, role: Option<EndpointRole>) -> (Option<f64>, f64) {
        let unit_ms = self.average(service, |state| {
            if state.endpoint.role == role { state.average_unit_ms() } else { None }
        });
        let response_ms = match role {
            Some(EndpointRole::Prefill) => unit_ms.map(|ms| ms * TYPICAL_PROMPT_TOKENS),
            _ => unit_ms,
        };
        (unit_ms, response_ms.unwrap_or(DEFAULT_RESPONSE_MS))
    }

    fn average(
        &self,
        service: &ServiceId,
        metric: impl Fn(&EndpointState) -> Option<f64>,
    ) -> Option<f64> {
        let ids = self.by_service.get(service)?;
        let samples = ids.iter().filter_map(|id| self.endpoints.get(id)).filter_map(metric);
        let (count, sum) = samples.fold((0_u32, 0.0), |(count, sum), one| (count + 1, sum + one));
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Chooses the endpoint with the lowest score, in ms. `score` returns `None` for a full
    /// endpoint. While all endpoints of a plain service are avoided or probed, those that fail only
    /// at times are used: otherwise most requests would be refused.
    fn choose(
        &mut self,
        service: &ServiceId,
        role: Option<EndpointRole>,
        (versions, excluded): (&VersionFilter, &[EndpointId]),
        now: Instant,
        score: impl Fn(&EndpointState) -> Option<f64>,
    ) -> Result<Placement, PlacementError> {
        let ids = self.by_service.get(service).ok_or(PlacementError::NoEndpoint)?;
        let cold_rate = self.cold_rates.get(service).copied();
        let usual = if self.is_paced { self.usual_times(service, role) } else { (None, 0.0) };
        let mut best: Option<(f64, f64, &EndpointId)> = None;
        let mut fallback: Option<(f64, f64, &EndpointId)> = None;
        let mut placement_error = PlacementError::NoEndpoint;
        for id in ids {
            let Some(state) = self.endpoints.get_mut(id) else { continue };
            let endpoint = &state.endpoint;
            let is_excluded = state.is_leaving()
                || endpoint.role != role
                || self.zones_out_of_service.contains(&endpoint.zone)
                || excluded.contains(id)
                || !versions.allows(&endpoint.version)
                || now < state.role_change_until;
            if is_excluded {
                continue;
            }
            if state.is_paused(now) {
                placement_error = placement_error.or_paused(state.paused_until);
                continue;
            }
            let is_avoided = state.health.is_avoided(now);
            let is_probing = state.health.is_half_open() && state.local_load.requests > 0;
            let is_fallback =
                (is_avoided || is_probing) && role.is_none() && state.health.fails_at_times(now);
            if is_avoided && !is_fallback {
                if placement_error.is_replaced_by_avoided() {
                    let until = now.plus_ms(state.health.local_avoid_ms(now).max(50));
                    placement_error = PlacementError::AllAvoided { until };
                }
                continue;
            }
            let is_cold_limited = state.is_cold(now)
                && cold_rate.is_some_and(|per_s| {
                    let allowance = self.cold_turns.allowance(state.key, per_s);
                    state.cold_sends(allowance.window_ms, now) >= allowance.requests
                });
            let is_held_back = is_probing && !is_fallback;
            let is_paced =
                self.is_paced && !is_fallback && !keeps_pace(state, &self.cold_turns, usual, now);
            if is_held_back || is_cold_limited || is_paced || now < state.backoff_until {
                placement_error = PlacementError::AllFull;
                continue;
            }
            let Some(expected_ms) = score(state) else {
                placement_error = PlacementError::AllFull;
                continue;
            };
            let half_open_penalty_ms =
                if state.health.is_half_open() { ERROR_PENALTY_MS / 4.0 } else { 0.0 };
            let rejection_penalty_ms =
                REJECTION_PENALTY_MS * (1.0 - state.acceptance.probability(now));
            let jittered_score = expected_ms
                + half_open_penalty_ms
                + rejection_penalty_ms
                + self.rng.random_range(0.0..SCORE_JITTER_MS);
            let lowest = if is_fallback { &mut fallback } else { &mut best };
            if lowest.is_none_or(|(lowest, ..)| jittered_score < lowest) {
                *lowest = Some((jittered_score, expected_ms, id));
            }
        }
        let (_, expected_ms, id) = best.or(fallback).ok_or(placement_error)?;
        let endpoint = Rc::clone(&self.endpoints[id].endpoint);
        Ok(Placement { endpoint, expected_ms: expected_ms as u64 })
    }
}

/// Whether this instance may send the endpoint one more request at its present pace. Begins the pace
/// of an endpoint that has just started or recovered; `usual` are its peers' times for a unit of work
/// and for a response.
fn keeps_pace(
    state: &mut EndpointState,
    turns: &ColdTurns,
    (unit_ms, response_ms): (Option<f64>, f64),
    now: Instant,
) -> bool {
    let before = state.pace.limit();
    let has_recovered = state.health.take_recovered();
    if std::mem::take(&mut state.is_returning) || has_recovered {
        state.pace.begin(unit_ms, response_ms, now);
    }
    state.pace.advance(state.endpoint.slots, now);
    if state.pace.limit() != before {
        log::info!(target: "balance", endpoint = state.endpoint.id.as_str(),
            limit = state.pace.limit(), limit_before = before, has_recovered = has_recovered;
            "pace changed");
    }
    let Some(limit) = state.pace.limit() else { return true };
    state.local_load.requests < turns.part(state.key, limit)
}
