use std::collections::VecDeque;
use std::rc::Rc;

use crate::balance::{Health, Load};
use crate::catalog::Endpoint;
use crate::clock::Instant;
use crate::hash::stable_hash;

/// Weight of the newest measurement in the averages.
const AVERAGE_WEIGHT: f64 = 0.15;
/// Time for which a refusal for lack of memory bounds what the endpoint is given.
const FULL_MS: u64 = 1_500;
/// Time for which it is not asked at all after such a refusal.
const FULL_PAUSE_MS: u64 = 40;
/// Memory that others may have freed since the refusal, for each ms.
const FREED_TOKENS_PER_MS: u64 = 10;
/// Span in which sends to a cold endpoint are counted.
const COLD_WINDOW_MS: u64 = 1_000;

/// An endpoint with what is known of its work.
#[derive(Clone, Debug)]
pub struct EndpointState {
    pub endpoint: Rc<Endpoint>,
    pub health: Health,
    /// Requests of this instance.
    pub local_load: Load,
    /// Requests of all peers, as last reported.
    pub peer_load: Load,
    /// Names the endpoint in messages between instances.
    pub key: u32,
    /// Average time of an answer; `None` before the first.
    average_unit_ms: Option<f64>,
    /// The endpoint is not asked before then.
    pub backoff_until: Instant,
    /// The endpoint was ordered to change its role and is not used before then.
    pub role_change_until: Instant,
    /// When the endpoint refused a request as full, and the memory that was reserved there then.
    full: Option<(Instant, u64)>,
    cold_sends: VecDeque<Instant>,
}

impl EndpointState {
    pub fn new(endpoint: Rc<Endpoint>) -> EndpointState {
        let key = stable_hash(endpoint.id.as_str()) as u32;
        EndpointState {
            endpoint,
            health: Health::default(),
            local_load: Load::default(),
            peer_load: Load::default(),
            key,
            average_unit_ms: None,
            backoff_until: Instant::default(),
            role_change_until: Instant::default(),
            full: None,
            cold_sends: VecDeque::new(),
        }
    }

    /// Notes that the endpoint had no room. What is reserved there is then less than what it
    /// holds, since outputs were longer than guessed or peers' requests are not known yet.
    pub fn record_full(&mut self, now: Instant) {
        self.full = Some((now, self.load().memory_tokens));
        self.backoff_until = now.plus_ms(FULL_PAUSE_MS);
    }

    /// Whether the memory fits, as far as the last refusal tells.
    pub fn fits_since_rejection(&self, needed_tokens: u64, now: Instant) -> bool {
        let Some((refused_at, reserved)) = self.full else { return true };
        let elapsed_ms = now.ms_since(refused_at);
        let limit = reserved + elapsed_ms * FREED_TOKENS_PER_MS;
        elapsed_ms > FULL_MS || self.load().memory_tokens + needed_tokens <= limit
    }

    pub fn load(&self) -> Load {
        let mut load = self.local_load;
        load.add(&self.peer_load);
        load
    }

    /// Time for which peers should leave the endpoint alone.
    pub fn avoid_ms(&self, now: Instant) -> u64 {
        self.health.local_avoid_ms(now).max(self.role_change_until.ms_since(now))
    }

    /// Notes how long an answer took for each unit of its work.
    pub fn record_unit_time(&mut self, unit_ms: f64) {
        let average = self.average_unit_ms.unwrap_or(unit_ms);
        self.average_unit_ms = Some(average + AVERAGE_WEIGHT * (unit_ms - average));
    }

    /// Average time of an answer, or of each unit of its work.
    pub fn average_unit_ms(&self) -> Option<f64> {
        self.average_unit_ms
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.endpoint.cold_until
    }

    pub fn record_send(&mut self, now: Instant) {
        if self.is_cold(now) {
            self.cold_sends.push_back(now);
        }
    }

    /// Sends of this instance to the cold endpoint in the last second.
    pub fn cold_sends(&mut self, now: Instant) -> usize {
        while self.cold_sends.front().is_some_and(|at| now.ms_since(*at) >= COLD_WINDOW_MS) {
            self.cold_sends.pop_front();
        }
        self.cold_sends.len()
    }
}
