use std::collections::VecDeque;
use std::rc::Rc;

use smol_str::SmolStr;

use crate::balance::{Acceptance, AvoidReport, Health, IncarnationKey, Load, Pace};
use crate::catalog::Endpoint;
use crate::clock::Instant;

/// Smoothing factor of the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.15;
/// Time for which a rejection for lack of memory limits the load placed on the endpoint.
const REJECTION_LIMIT_MS: u64 = 1_500;
/// Time after such a rejection in which the endpoint gets no request at all.
const REJECTION_BACKOFF_MS: u64 = 40;
/// Memory that other requests are assumed to free per ms after a rejection.
const FREED_TOKENS_PER_MS: u64 = 10;

/// Number of reservation ids that are kept to recognise repeated responses. A repeated response
/// belongs to one of the last requests on its connection.
const MAX_KNOWN_RESERVATIONS: usize = 64;

/// An endpoint with its health, load and measured latency.
#[derive(Clone, Debug)]
pub struct EndpointState {
    pub endpoint: Rc<Endpoint>,
    pub health: Health,
    /// Load of the requests of this instance.
    pub local_load: Load,
    /// Load of the requests of all peers, as last reported.
    pub peer_load: Load,
    /// Identifies the endpoint in messages between instances.
    pub key: u32,
    pub incarnation: IncarnationKey,
    pub acceptance: Acceptance,
    pub pace: Pace,
    /// The endpoint has just started or returned, so that its pace begins with its next request.
    pub is_returning: bool,
    /// The process has announced in a response that it is leaving, or a peer has been told so.
    pub has_left_notice: bool,
    /// The endpoint has asked for no requests before this time.
    pub paused_until: Instant,
    /// Moving average of the time per unit of work; `None` before the first measurement.
    average_unit_ms: Option<f64>,
    /// The endpoint gets no requests before this time.
    pub backoff_until: Instant,
    /// The endpoint was ordered to change its role and gets no requests before this time.
    pub role_change_until: Instant,
    /// Time of the last rejection for lack of memory, and the memory reserved at that time.
    last_rejection: Option<(Instant, u64)>,
    cold_sends: VecDeque<Instant>,
    /// Ids of the latest memory reservations, oldest first.
    reservations: VecDeque<SmolStr>,
}

impl EndpointState {
    pub fn new(endpoint: Rc<Endpoint>) -> EndpointState {
        let incarnation = IncarnationKey::new(&endpoint);
        EndpointState {
            endpoint,
            health: Health::default(),
            local_load: Load::default(),
            peer_load: Load::default(),
            key: incarnation.endpoint_key,
            incarnation,
            acceptance: Acceptance::default(),
            pace: Pace::default(),
            is_returning: false,
            has_left_notice: false,
            paused_until: Instant::default(),
            average_unit_ms: None,
            backoff_until: Instant::default(),
            role_change_until: Instant::default(),
            last_rejection: None,
            cold_sends: VecDeque::new(),
            reservations: VecDeque::new(),
        }
    }

    /// Records that the endpoint rejected a request for lack of memory. Its actual use then exceeds
    /// the known reservations, because outputs were longer than estimated or because requests of
    /// peers have not been reported yet.
    pub fn record_full(&mut self, now: Instant) {
        self.last_rejection = Some((now, self.load().memory_tokens));
        self.pace.record_failure(now);
        self.backoff_until = now.plus_ms(REJECTION_BACKOFF_MS);
    }

    /// Whether the request fits into the memory limit inferred from the last rejection.
    pub fn fits_since_rejection(&self, needed_tokens: u64, now: Instant) -> bool {
        let Some((rejected_at, reserved)) = self.last_rejection else { return true };
        let elapsed_ms = now.ms_since(rejected_at);
        let limit = reserved + elapsed_ms * FREED_TOKENS_PER_MS;
        elapsed_ms > REJECTION_LIMIT_MS || self.load().memory_tokens + needed_tokens <= limit
    }

    /// Records the id of a memory reservation. Returns false if the endpoint has returned it before,
    /// in a response that has now arrived once more.
    pub fn record_reservation(&mut self, id: &SmolStr) -> bool {
        if self.reservations.contains(id) {
            return false;
        }
        if self.reservations.len() == MAX_KNOWN_RESERVATIONS {
            self.reservations.pop_front();
        }
        self.reservations.push_back(id.clone());
        true
    }

    /// Load of this instance and all peers.
    pub fn load(&self) -> Load {
        let mut load = self.local_load;
        load.add(&self.peer_load);
        load
    }

    /// Tells peers for how long they should avoid the endpoint.
    pub fn avoidance(&self, now: Instant) -> AvoidReport {
        let avoid_ms = self.health.local_avoid_ms(now).max(self.role_change_until.ms_since(now));
        let is_plain = self.endpoint.role.is_none();
        AvoidReport::new(avoid_ms, is_plain && self.health.is_lossy(now))
            .with_slowness(self.pace.is_slow())
    }

    /// Adds a measurement of the time per unit of work: a prompt token for a prefill engine, a
    /// response otherwise.
    pub fn record_unit_time(&mut self, unit_ms: f64) {
        self.pace.record_answer(unit_ms);
        let average = self.average_unit_ms.unwrap_or(unit_ms);
        self.average_unit_ms = Some(average + SMOOTHING_FACTOR * (unit_ms - average));
    }

    /// Average time per unit of work, as in `record_unit_time`.
    pub fn average_unit_ms(&self) -> Option<f64> {
        self.average_unit_ms
    }

    /// Whether the endpoint has announced that it is leaving, in its entry or in a response.
    pub fn is_leaving(&self) -> bool {
        self.endpoint.is_leaving || self.has_left_notice
    }

    pub fn is_paused(&self, now: Instant) -> bool {
        now < self.paused_until
    }

    /// Sends nothing to the endpoint before `until`, and then one request at a time until it
    /// answers one.
    pub fn pause(&mut self, until: Instant) {
        if until > self.paused_until {
            self.paused_until = until;
            self.health.begin_probing();
        }
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.endpoint.cold_until
    }

    pub fn record_send(&mut self, now: Instant) {
        if self.is_cold(now) {
            self.cold_sends.push_back(now);
        }
    }

    /// Requests that this instance sent to the cold endpoint in the last `window_ms`.
    pub fn cold_sends(&mut self, window_ms: u64, now: Instant) -> usize {
        while self.cold_sends.front().is_some_and(|at| now.ms_since(*at) >= window_ms) {
            self.cold_sends.pop_front();
        }
        self.cold_sends.len()
    }
}
