use std::collections::VecDeque;
use std::rc::Rc;

use crate::balance::{Health, Load};
use crate::catalog::Endpoint;
use crate::clock::Instant;
use crate::hash::stable_hash;

/// Weight of the newest measurement in the averages.
const AVERAGE_WEIGHT: f64 = 0.15;
/// Span in which sends to a cold endpoint are counted.
const COLD_WINDOW_MS: u64 = 1_000;

/// An endpoint with what is known of its work.
#[derive(Clone, Debug)]
pub struct EndpointState {
    pub endpoint: Rc<Endpoint>,
    pub health: Health,
    /// Requests of this instance.
    pub own: Load,
    /// Requests of all peers, as last reported.
    pub peers: Load,
    /// Names the endpoint in messages between instances.
    pub key: u32,
    /// Average time of an answer; `None` before the first.
    answer_ms: Option<f64>,
    /// The endpoint refused a request as full and is not asked again before then.
    pub full_until: Instant,
    cold_sends: VecDeque<Instant>,
}

impl EndpointState {
    pub fn new(endpoint: Rc<Endpoint>) -> EndpointState {
        let key = stable_hash(endpoint.id.as_str()) as u32;
        EndpointState {
            endpoint,
            health: Health::default(),
            own: Load::default(),
            peers: Load::default(),
            key,
            answer_ms: None,
            full_until: Instant::default(),
            cold_sends: VecDeque::new(),
        }
    }

    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(&self.peers);
        load
    }

    /// Notes how long an answer took for each unit of its work.
    pub fn note_answer_time(&mut self, unit_ms: f64) {
        let average = self.answer_ms.unwrap_or(unit_ms);
        self.answer_ms = Some(average + AVERAGE_WEIGHT * (unit_ms - average));
    }

    /// Average time of an answer, or of each unit of its work.
    pub fn answer_ms(&self) -> Option<f64> {
        self.answer_ms
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.endpoint.cold_until
    }

    pub fn note_send(&mut self, now: Instant) {
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
