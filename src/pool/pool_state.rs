use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use crate::clock::Instant;
use crate::config::{Document, Endpoint, Model, Role, ServiceState};
use crate::pool::endpoint_state::EndpointState;
use crate::pool::endpoint_status::EndpointStatus;
use crate::pool::fair_queue::FairQueue;
use crate::pool::pair_selector::PairSelector;
use crate::pool::prefix_index::PrefixIndex;
use crate::pool::prompt_ratios::PromptRatios;
use crate::pool::queue_kind::QueueKind;
use crate::pool::queued_admission::QueuedAdmission;
use crate::pool::reservation::Reservation;
use crate::pool::target_state::TargetState;
use crate::pool::{AdmitAnswer, PriorityClass};
use crate::units::{AttemptId, EndpointId, FencingToken, OrganisationId, ShardId};

/// Endpoint states, reservations, queues and prefix index of one pool. Makes no calls to engines.
pub(crate) struct PoolState {
    shard: ShardId,
    pub(super) fencing: FencingToken,
    document: Rc<Document>,
    pub(super) model: Option<Model>,
    pub(super) endpoints: BTreeMap<EndpointId, EndpointState>,
    pub(super) reservations: HashMap<AttemptId, Reservation>,
    /// Attempts without a reservation that an engine may still hold, with the time since when.
    pub(super) orphans: HashMap<AttemptId, Instant>,
    /// Recently ended attempts, which a report or list made earlier may still contain.
    pub(super) ended: HashMap<AttemptId, Instant>,
    pub(super) prefixes: PrefixIndex,
    pub(super) prompt_ratios: PromptRatios,
    /// Reservations are not released as unreported before this time.
    pub(super) no_release_before: Instant,
    /// One queue for each `QueueKind`.
    pub(super) queues: [FairQueue; 3],
    /// Endpoints that are reserved for suspects while suspects are queued.
    pub(super) suspect_only: BTreeSet<EndpointId>,
    /// Interactive admissions since the last waiting-class admission, counted while the waiting
    /// class is backlogged.
    pub(super) interactive_streak: u32,
    pub(super) short_prefill_ms: f64,
    pub(super) long_prefill_ms: f64,
    pub(super) next_queue_id: u64,
}

impl PoolState {
    /// Gateways report once a second. An attempt missing for three seconds belongs to a gateway
    /// that is gone.
    pub const REPORT_TIMEOUT_MS: u64 = 3000;

    pub fn new(shard: ShardId, fencing: FencingToken, now: Instant) -> PoolState {
        PoolState {
            shard,
            fencing,
            document: Rc::default(),
            model: None,
            endpoints: BTreeMap::new(),
            reservations: HashMap::new(),
            orphans: HashMap::new(),
            ended: HashMap::new(),
            prefixes: PrefixIndex::default(),
            prompt_ratios: PromptRatios::default(),
            no_release_before: now.plus_ms(PoolState::REPORT_TIMEOUT_MS),
            queues: Default::default(),
            suspect_only: BTreeSet::new(),
            interactive_streak: 0,
            short_prefill_ms: 0.0,
            long_prefill_ms: 0.0,
            next_queue_id: 0,
        }
    }

    pub fn set_document(&mut self, document: Rc<Document>) {
        let ShardId::Pool { region, model, slice } = &self.shard else {
            return;
        };
        self.model = document.models.get(model).cloned();
        let mut old = std::mem::take(&mut self.endpoints);
        for (id, endpoint) in document.endpoints.iter() {
            let Endpoint::Engine(entry) = endpoint else { continue };
            let Some(zone) = document.zones.get(&entry.zone) else { continue };
            if entry.model != *model || entry.slice != *slice || zone.region != *region {
                continue;
            }
            let in_service = entry.state == ServiceState::In && zone.state == ServiceState::In;
            let target_state = TargetState::new(entry, self.model.as_ref());
            let has_same_address = |e: &EndpointState| e.entry.address == entry.address;
            let runtime_state = match old.remove(id).filter(has_same_address) {
                Some(mut runtime_state) => {
                    runtime_state.update(entry, in_service, target_state);
                    runtime_state
                }
                None => EndpointState::new(entry.clone(), in_service, target_state),
            };
            self.endpoints.insert(id.clone(), runtime_state);
        }
        self.document = document;
    }

    /// Releases everything that is reserved for the attempt.
    pub fn release(&mut self, attempt: &AttemptId) -> Option<Reservation> {
        let reservation = self.reservations.remove(attempt)?;
        for id in [&reservation.prefill, &reservation.decode] {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.occupancy.remove(attempt);
                endpoint.prefills.remove(attempt);
                endpoint.link.remove(attempt);
            }
        }
        Some(reservation)
    }

    /// Counts a refusal and returns the answer with the time to retry after.
    pub fn full(
        &self,
        class: PriorityClass,
        organisation: &OrganisationId,
        now: Instant,
    ) -> AdmitAnswer {
        metrics::counter!("pool_refusals", "class" => class.to_string()).increment(1);
        let weight = self.weight(organisation);
        let wait_ms = self.queues[class as usize].expected_wait_ms(organisation, weight);
        let retry_after_ms = wait_ms.unwrap_or(1000).clamp(100, 5000);
        AdmitAnswer::Full { retry_after_ms, free_slots: self.free_slots(now) }
    }

    pub fn free_slots(&self, now: Instant) -> u32 {
        let open = self.endpoints.values().filter(|e| e.accepts_work_as(Role::Decode));
        open.map(|e| e.free_slots(now)).sum()
    }

    /// Updates warm-up limits and the share of short prompts. Called once a second.
    pub fn tick(&mut self, now: Instant) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.warm_up.record_used_slots(endpoint.used_slots(now));
            endpoint.warm_up.tick();
            endpoint.link.remove_finished(now);
        }
        self.short_prefill_ms = halve(self.short_prefill_ms);
        self.long_prefill_ms = halve(self.long_prefill_ms);
        self.remove_old_entries(now);
    }

    pub fn drop_expired(&mut self, now: Instant) {
        for queue_kind in QueueKind::ALL {
            for queued in self.queues[queue_kind as usize].tick(now) {
                let request = &queued.admission;
                let answer = self.full(request.class, &request.organisation, now);
                // The caller may have given up at the same time.
                let _ = queued.answer.send(answer);
            }
        }
    }

    pub fn drain_queues(&mut self) -> Vec<QueuedAdmission> {
        self.queues.iter_mut().flat_map(FairQueue::drain).collect()
    }

    pub fn status(&self, now: Instant) -> Vec<EndpointStatus> {
        self.endpoints.iter().map(|(id, endpoint)| endpoint.status(id, now)).collect()
    }

    pub(super) fn weight(&self, organisation: &OrganisationId) -> u32 {
        self.document.organisations.get(organisation).map_or(1, |o| o.weight)
    }

    pub(super) fn pair_selector(&self, now: Instant) -> Option<PairSelector<'_>> {
        let all_ms = self.short_prefill_ms + self.long_prefill_ms;
        Some(PairSelector {
            model: self.model.as_ref()?,
            endpoints: &self.endpoints,
            suspect_only: &self.suspect_only,
            is_ledger_complete: now >= self.no_release_before,
            prefixes: &self.prefixes,
            prompt_ratios: &self.prompt_ratios,
            short_share: if all_ms > 0.0 { self.short_prefill_ms / all_ms } else { 0.0 },
            now,
        })
    }
}

/// Halves a decaying sum. Rounds small remainders to zero.
fn halve(ms: f64) -> f64 {
    if ms < 1.0 { 0.0 } else { ms / 2.0 }
}
