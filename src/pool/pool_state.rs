use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use crate::clock::Instant;
use crate::config::{Document, Endpoint, Model, Role, ServiceState};
use crate::pool::endpoint_ledger::EndpointLedger;
use crate::pool::endpoint_status::EndpointStatus;
use crate::pool::fair_queue::FairQueue;
use crate::pool::lane::Lane;
use crate::pool::prefix_index::PrefixIndex;
use crate::pool::prompt_ratios::PromptRatios;
use crate::pool::reservation::Reservation;
use crate::pool::selection::Selection;
use crate::pool::waiter::Waiter;
use crate::pool::wanted::Wanted;
use crate::pool::{AdmitAnswer, Class};
use crate::units::{AttemptId, EndpointId, FencingToken, OrganisationId, ShardId};

/// Ledger, queues and prefix index of one pool. Calls no engine.
pub(crate) struct PoolState {
    shard: ShardId,
    pub(super) fencing: FencingToken,
    document: Rc<Document>,
    pub(super) model: Option<Model>,
    pub(super) endpoints: BTreeMap<EndpointId, EndpointLedger>,
    pub(super) reservations: HashMap<AttemptId, Reservation>,
    /// Attempts without a reservation that an engine may still hold, with the time since when.
    pub(super) orphans: HashMap<AttemptId, Instant>,
    /// Attempts that ended recently. A report or list made before the end may still name them.
    pub(super) ended: HashMap<AttemptId, Instant>,
    pub(super) prefixes: PrefixIndex,
    pub(super) prompt_ratios: PromptRatios,
    pub(super) nothing_freed_before: Instant,
    /// One for each lane.
    pub(super) queues: [FairQueue; 3],
    /// Endpoints that admit no others while suspects wait.
    pub(super) kept: BTreeSet<EndpointId>,
    /// Interactive admissions since the last one of the waiting class, while one waited.
    pub(super) interactive_streak: u32,
    pub(super) short_prefill_ms: f64,
    pub(super) long_prefill_ms: f64,
    pub(super) next_waiter: u64,
}

impl PoolState {
    /// Reports come each second, so after three without it an attempt's gateway has gone.
    pub const SILENCE_MS: u64 = 3000;

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
            nothing_freed_before: now.plus_ms(PoolState::SILENCE_MS),
            queues: Default::default(),
            kept: BTreeSet::new(),
            interactive_streak: 0,
            short_prefill_ms: 0.0,
            long_prefill_ms: 0.0,
            next_waiter: 0,
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
            let wanted = Wanted::new(entry, self.model.as_ref());
            let same = |e: &EndpointLedger| e.entry.address == entry.address;
            let ledger = match old.remove(id).filter(same) {
                Some(mut ledger) => {
                    ledger.update(entry, in_service, wanted);
                    ledger
                }
                None => EndpointLedger::new(entry.clone(), in_service, wanted),
            };
            self.endpoints.insert(id.clone(), ledger);
        }
        self.document = document;
    }

    /// Frees everything reserved for the attempt.
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

    pub fn full(&self, class: Class, organisation: &OrganisationId, now: Instant) -> AdmitAnswer {
        metrics::counter!("pool_refusals", "class" => class.to_string()).increment(1);
        let weight = self.weight(organisation);
        let wait_ms = self.queues[class as usize].expected_wait_ms(organisation, weight);
        let retry_after_ms = wait_ms.unwrap_or(1000).clamp(100, 5000);
        AdmitAnswer::Full { retry_after_ms, free_slots: self.free_slots(now) }
    }

    pub fn free_slots(&self, now: Instant) -> u32 {
        let open = self.endpoints.values().filter(|e| e.is_open_as(Role::Decode));
        open.map(|e| e.free_slots(now)).sum()
    }

    /// Each second: warm-up and the part of short prompts.
    pub fn tick(&mut self, now: Instant) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.warm_up.note_used(endpoint.used_slots(now));
            endpoint.warm_up.tick();
            endpoint.link.forget_past(now);
        }
        self.short_prefill_ms = halve(self.short_prefill_ms);
        self.long_prefill_ms = halve(self.long_prefill_ms);
        self.forget_old(now);
    }

    pub fn drop_expired(&mut self, now: Instant) {
        for lane in Lane::ALL {
            for waiter in self.queues[lane as usize].tick(now) {
                let request = &waiter.admission;
                let answer = self.full(request.class, &request.organisation, now);
                // The caller may have given up at the same time.
                let _ = waiter.answer.send(answer);
            }
        }
    }

    pub fn drain_queues(&mut self) -> Vec<Waiter> {
        self.queues.iter_mut().flat_map(FairQueue::drain).collect()
    }

    pub fn status(&self, now: Instant) -> Vec<EndpointStatus> {
        self.endpoints.iter().map(|(id, endpoint)| endpoint.status(id, now)).collect()
    }

    pub(super) fn weight(&self, organisation: &OrganisationId) -> u32 {
        self.document.organisations.get(organisation).map_or(1, |o| o.weight)
    }

    pub(super) fn selection(&self, now: Instant) -> Option<Selection<'_>> {
        let all_ms = self.short_prefill_ms + self.long_prefill_ms;
        Some(Selection {
            model: self.model.as_ref()?,
            endpoints: &self.endpoints,
            kept: &self.kept,
            knows_all: now >= self.nothing_freed_before,
            prefixes: &self.prefixes,
            prompt_ratios: &self.prompt_ratios,
            short_share: if all_ms > 0.0 { self.short_prefill_ms / all_ms } else { 0.0 },
            now,
        })
    }
}

/// Halves a decaying sum; what is left of old work counts as none.
fn halve(ms: f64) -> f64 {
    if ms < 1.0 { 0.0 } else { ms / 2.0 }
}
