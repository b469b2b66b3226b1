use crate::clock::Instant;
use crate::config::EngineEndpoint;
use crate::pool::link::Link;
use crate::pool::occupancy::Occupancy;
use crate::pool::prefill_queue::PrefillQueue;
use crate::pool::warm_up::WarmUp;
use crate::units::Pieces;

/// What the owner has reserved on an endpoint and knows of its state.
#[derive(Clone, Debug)]
pub(crate) struct EndpointLedger {
    pub entry: EngineEndpoint,
    /// Neither the endpoint nor its availability zone is out of service.
    pub in_service: bool,
    pub health: Health,
    pub warm_up: WarmUp,
    pub link: Link,
    /// Used on decode endpoints.
    pub occupancy: Occupancy,
    /// Used on prefill endpoints.
    pub prefills: PrefillQueue,
    pub cache_sequence: u64,
    died_at: Option<Instant>,
    failed_probes: u32,
    /// Prefills that a previous owner's live attempts had here.
    earlier_prefills: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Not probed yet. What the engine holds is not known, so nothing is reserved on it.
    Unknown,
    Up,
    Down,
}

impl EndpointLedger {
    /// One lost answer does not mean that the endpoint is down.
    const MAX_FAILED_PROBES: u32 = 2;

    pub fn new(entry: EngineEndpoint, in_service: bool) -> EndpointLedger {
        EndpointLedger {
            in_service,
            health: Health::Unknown,
            warm_up: WarmUp::new(entry.slots),
            link: Link::new(entry.link_bytes_per_s),
            occupancy: Occupancy::default(),
            prefills: PrefillQueue::default(),
            cache_sequence: 0,
            died_at: None,
            failed_probes: 0,
            earlier_prefills: 0,
            entry,
        }
    }

    /// Takes over the document's entry. Return to service starts cold.
    pub fn update(&mut self, entry: &EngineEndpoint, in_service: bool) {
        if in_service && !self.in_service {
            self.warm_up.restart();
        }
        self.in_service = in_service;
        self.warm_up.set_slots(entry.slots);
        self.link.set_bytes_per_s(entry.link_bytes_per_s);
        self.entry = entry.clone();
    }

    /// May get new work.
    pub fn is_open(&self) -> bool {
        self.in_service && self.health == Health::Up
    }

    /// May get new work once a probe answers.
    pub fn may_open(&self) -> bool {
        self.in_service && self.health != Health::Down
    }

    pub fn used_slots(&self, now: Instant) -> u32 {
        self.occupancy.used_slots() + self.prefills.used_slots(now, self.warm_up.is_warm())
    }

    pub fn free_slots(&self, now: Instant) -> u32 {
        self.warm_up.limit().saturating_sub(self.used_slots(now))
    }

    pub fn free_pieces(&self) -> Pieces {
        self.entry.pieces - self.occupancy.used_pieces()
    }

    /// Attempts to which the endpoint's death could be put down.
    pub fn unproven(&self) -> usize {
        self.occupancy.unproven() + self.prefills.unproven()
    }

    /// A suspect has to show that it does not crash the endpoint.
    pub fn has_unproven_suspect(&self) -> bool {
        self.occupancy.has_unproven_suspect() || self.prefills.has_suspect()
    }

    /// Prefills under a previous owner show that the endpoint is warm.
    pub fn note_earlier_prefill(&mut self) {
        self.earlier_prefills += 1;
        if self.health != Health::Down {
            self.warm_up.note_running(self.earlier_prefills);
        }
    }

    /// Notes that the process died under an attempt that was admitted at `admitted_at`. Returns
    /// whether this is a new death: the neighbours of an attempt report the same one later.
    pub fn note_death(&mut self, admitted_at: Instant, now: Instant) -> bool {
        if self.died_at.is_some_and(|died_at| admitted_at <= died_at) {
            return false;
        }
        self.died_at = Some(now);
        self.take_down();
        true
    }

    /// An answer to a probe that was sent before the death says nothing.
    pub fn note_probe_answer(&mut self, sent_at: Instant) {
        if self.died_at.is_some_and(|died_at| sent_at <= died_at) {
            return;
        }
        self.failed_probes = 0;
        if self.health != Health::Up {
            log::info!(target: "pool", "endpoint at {} is up", self.entry.address);
            self.health = Health::Up;
        }
    }

    /// Returns whether the endpoint is down.
    pub fn note_probe_failure(&mut self) -> bool {
        self.failed_probes += 1;
        if self.failed_probes >= EndpointLedger::MAX_FAILED_PROBES {
            self.take_down();
        }
        self.health == Health::Down
    }

    fn take_down(&mut self) {
        if self.health != Health::Down {
            log::warn!(target: "pool", "endpoint at {} is down", self.entry.address);
        }
        self.health = Health::Down;
        self.warm_up.restart();
        self.prefills = PrefillQueue::default();
        self.cache_sequence = 0;
    }
}
