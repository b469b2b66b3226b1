use smol_str::{SmolStr, ToSmolStr};

use crate::clock::Instant;
use crate::config::{EngineEndpoint, Role};
use crate::engine::{EngineState, Order};
use crate::pool::EndpointStatus;
use crate::pool::endpoint_change::EndpointChange;
use crate::pool::link::Link;
use crate::pool::occupancy::Occupancy;
use crate::pool::prefill_queue::PrefillQueue;
use crate::pool::target_state::TargetState;
use crate::pool::warm_up::WarmUp;
use crate::units::{EndpointId, Pieces};

/// The owner's view of an endpoint: its reservations, health and reported state.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    pub entry: EngineEndpoint,
    /// Whether both the endpoint and its availability zone are in service.
    pub in_service: bool,
    pub health: Health,
    pub warm_up: WarmUp,
    pub link: Link,
    /// Used for decode endpoints.
    pub occupancy: Occupancy,
    /// Used for prefill endpoints.
    pub prefills: PrefillQueue,
    /// Sequence number of the last cache event that was applied.
    pub cache_sequence: u64,
    crashed_at: Option<Instant>,
    failed_probes: u32,
    /// Number of prefills that this endpoint ran for live attempts of a previous owner.
    inherited_prefills: u32,
    pub target_state: TargetState,
    /// State last reported by the engine. `None` until the engine has reported since it came up.
    pub reported: Option<EngineState>,
    /// Whether the engine reports that it accepts work for this role and model.
    has_role: bool,
    revision: Option<SmolStr>,
    /// Time at which the request for `reported` was sent.
    pub reported_at: Instant,
    pub change: Option<EndpointChange>,
    /// After a change the endpoint counts as unavailable until it is warm, but no later than this
    /// time.
    settles_until: Instant,
    /// What a due change is waiting for.
    pub waits_for: Option<SmolStr>,
    /// Time at which the last list of held attempts was requested, if that list was empty.
    pub empty_at: Option<Instant>,
}

/// Health of an endpoint, from probes and reported crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Not probed yet. Nothing is reserved, because it is not known what the engine holds.
    Unknown,
    Up,
    Down,
}

impl EndpointState {
    /// A single lost response does not mean that the endpoint is down.
    const MAX_FAILED_PROBES: u32 = 2;

    pub fn new(
        entry: EngineEndpoint,
        in_service: bool,
        target_state: TargetState,
    ) -> EndpointState {
        EndpointState {
            in_service,
            health: Health::Unknown,
            warm_up: WarmUp::new(entry.slots),
            link: Link::new(entry.link_bytes_per_s),
            occupancy: Occupancy::default(),
            prefills: PrefillQueue::default(),
            cache_sequence: 0,
            crashed_at: None,
            failed_probes: 0,
            inherited_prefills: 0,
            target_state,
            reported: None,
            has_role: false,
            revision: None,
            reported_at: Instant::default(),
            change: None,
            settles_until: Instant::default(),
            waits_for: None,
            empty_at: None,
            entry,
        }
    }

    /// Applies a new configuration entry. An endpoint that returns to service starts cold. The role
    /// stays that of the engine until the engine reports another.
    pub fn update(&mut self, entry: &EngineEndpoint, in_service: bool, target_state: TargetState) {
        if in_service && !self.in_service {
            self.warm_up.reset();
        }
        self.in_service = in_service;
        self.warm_up.set_slots(entry.slots);
        self.link.set_bytes_per_s(entry.link_bytes_per_s);
        let role = self.entry.role;
        self.entry = EngineEndpoint { role, ..entry.clone() };
        self.target_state = target_state;
        self.apply_report();
    }

    /// Whether the endpoint may get new work.
    pub fn accepts_work(&self) -> bool {
        self.in_service && self.health == Health::Up && self.change.is_none() && self.has_role
    }

    /// Whether the endpoint has this role and may get new work.
    pub fn accepts_work_as(&self, role: Role) -> bool {
        self.entry.role == role && self.accepts_work()
    }

    /// Whether an endpoint of the other role with the same model revision accepts work.
    pub fn has_partner<'a>(&self, mut others: impl Iterator<Item = &'a EndpointState>) -> bool {
        others.any(|other| {
            other.entry.role != self.entry.role
                && other.accepts_work()
                && other.revision() == self.revision()
        })
    }

    /// Whether the endpoint may get new work as soon as it answers a probe.
    pub fn may_accept_work(&self) -> bool {
        let may_have_role = self.reported.is_none() || self.has_role;
        self.in_service && self.health != Health::Down && self.change.is_none() && may_have_role
    }

    /// Revision of the model that the engine has loaded. KV caches of different revisions are
    /// incompatible.
    pub fn revision(&self) -> Option<&SmolStr> {
        self.revision.as_ref()
    }

    pub fn needs_change(&self) -> bool {
        self.entry.role != self.target_state.role || self.next_order().is_some()
    }

    fn next_order(&self) -> Option<Order> {
        self.reported.as_ref().and_then(|reported| self.target_state.next_order(reported))
    }

    /// Whether a change currently removes the endpoint's capacity from the pool.
    pub fn is_unavailable(&self, now: Instant) -> bool {
        let is_settling = now < self.settles_until && !self.warm_up.is_warm();
        let is_taken = self.change.as_ref().is_some_and(|change| change.takes_capacity);
        self.in_service && (is_settling || is_taken)
    }

    /// Whether the endpoint is probed more often than once a second.
    pub fn needs_frequent_probes(&self) -> bool {
        self.health != Health::Up || self.change.is_some() || self.reported.is_none()
    }

    pub fn record_state(&mut self, state: EngineState, sent_at: Instant) {
        self.reported = Some(state);
        self.reported_at = sent_at;
        self.apply_report();
    }

    /// Updates the fields that are derived from the engine's report.
    fn apply_report(&mut self) {
        let Some(reported) = &self.reported else {
            self.has_role = false;
            self.revision = None;
            return;
        };
        let models = reported.models.as_ref();
        self.revision = models.and_then(|models| models.get(&self.target_state.model)).cloned();
        self.has_role = reported.loading.is_none()
            && reported.roles.contains(&self.entry.role)
            && (models.is_none() || self.revision.is_some());
    }

    /// Sets the role that the engine reports and resets the reservations, which were made for the
    /// old role.
    pub fn switch_role(&mut self, role: Role) {
        self.entry.role = role;
        self.apply_report();
        self.reset();
    }

    /// Ends the change and resets the endpoint to cold.
    pub fn end_change(&mut self, settles_until: Instant) {
        if self.change.take().is_some_and(|change| change.takes_capacity) {
            self.settles_until = settles_until;
        }
        self.waits_for = None;
        self.reset();
    }

    /// Clears all reservations and restarts the warm-up.
    fn reset(&mut self) {
        self.warm_up = WarmUp::new(self.entry.slots);
        self.link = Link::new(self.entry.link_bytes_per_s);
        self.occupancy = Occupancy::default();
        self.prefills = PrefillQueue::default();
        self.inherited_prefills = 0;
    }

    pub fn status(&self, id: &EndpointId, now: Instant) -> EndpointStatus {
        EndpointStatus {
            endpoint: id.clone(),
            role: self.entry.role,
            wanted_role: self.target_state.role,
            next_order: self.next_order().map(|order| order.to_smolstr()),
            is_changing: self.change.is_some(),
            waits_for: self.waits_for.clone(),
            failure: self.change.as_ref().and_then(|change| change.failure.clone()),
            in_service: self.in_service,
            is_up: self.health == Health::Up,
            used_slots: self.used_slots(now),
            slot_limit: self.warm_up.limit(),
            used_pieces: self.occupancy.used_pieces(),
        }
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

    /// Number of attempts that are not yet ruled out as the cause of a crash.
    pub fn unproven_count(&self) -> usize {
        self.occupancy.unproven_count() + self.prefills.unproven_count()
    }

    /// Whether a suspect runs here that is not yet ruled out as the cause of a crash.
    pub fn has_unproven_suspect(&self) -> bool {
        self.occupancy.has_unproven_suspect() || self.prefills.has_suspect()
    }

    /// Records a prefill that ran under a previous owner, which shows that the endpoint can run
    /// that many.
    pub fn record_inherited_prefill(&mut self) {
        self.inherited_prefills += 1;
        if self.health != Health::Down {
            self.warm_up.raise_limit_to(self.inherited_prefills);
        }
    }

    /// Records that the process crashed under an attempt that was admitted at `admitted_at`.
    /// Returns whether the crash is new: other attempts on the endpoint report the same crash
    /// later.
    pub fn record_process_crash(&mut self, admitted_at: Instant, now: Instant) -> bool {
        if self.crashed_at.is_some_and(|crashed_at| admitted_at <= crashed_at) {
            return false;
        }
        self.crashed_at = Some(now);
        self.mark_down();
        true
    }

    /// Records a probe response. Responses to probes that were sent before the last crash are
    /// ignored.
    pub fn record_probe_answer(&mut self, sent_at: Instant) {
        if self.crashed_at.is_some_and(|crashed_at| sent_at <= crashed_at) {
            return;
        }
        self.failed_probes = 0;
        if self.health != Health::Up {
            log::info!(target: "pool", "endpoint at {} is up", self.entry.address);
            self.health = Health::Up;
        }
    }

    /// Returns whether the endpoint is down.
    pub fn record_probe_failure(&mut self) -> bool {
        self.failed_probes += 1;
        if self.failed_probes >= EndpointState::MAX_FAILED_PROBES {
            self.mark_down();
        }
        self.health == Health::Down
    }

    fn mark_down(&mut self) {
        if self.health != Health::Down {
            log::warn!(target: "pool", "endpoint at {} is down", self.entry.address);
        }
        self.health = Health::Down;
        self.reported = None;
        self.apply_report();
        self.warm_up.reset();
        self.prefills = PrefillQueue::default();
        self.cache_sequence = 0;
    }
}
