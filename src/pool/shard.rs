use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::{Clock, Instant};
use crate::config::{Document, Role};
use crate::engine::{Engine, EngineError, HeldAttempt};
use crate::pool::pair_selector::SelectionError;
use crate::pool::pool_state::PoolState;
use crate::pool::queue_ticket::QueueTicket;
use crate::pool::{Admission, AdmitAnswer, EngineFactory, WeightLoadLimiter};
use crate::units::{AttemptId, EndpointId, FencingToken, ShardId};

/// A pool that this instance owns: its state and the calls to its engines.
pub(crate) struct Shard<E, C> {
    pub state: RefCell<PoolState>,
    pub(super) clock: C,
    pub(super) fencing: FencingToken,
    engines: RefCell<HashMap<EndpointId, (SmolStr, E)>>,
    lease_deadline: Cell<Instant>,
    /// Orders to engines that do not check fencing numbers are delayed until this time.
    pub(super) orders_after: Instant,
    /// Limits loads to the weight store's rate, if there is a weight store.
    pub(super) load_limiter: Option<WeightLoadLimiter>,
    pub(super) orders_in_flight: RefCell<HashSet<EndpointId>>,
    is_lease_lost: Cell<bool>,
    probes_in_flight: RefCell<HashSet<EndpointId>>,
    cancels_in_flight: RefCell<HashSet<(EndpointId, AttemptId)>>,
    last_tick: Cell<Instant>,
    next_check: Cell<Instant>,
    next_second: Cell<Instant>,
}

impl<E: Engine, C: Clock> Shard<E, C> {
    /// Maximum time that an order of the previous owner can be in flight after its lease ended.
    pub(super) const COMMAND_TIMEOUT_MS: u64 = 2000;
    const CALL_TIMEOUT: Duration = Duration::from_millis(500);
    /// With the 3 s report timeout and cancellations that time out after 500 ms each, this interval
    /// frees memory within 5 s even if two cancellations are lost.
    const CHECK_MS: u64 = 250;
    const MAX_CANCELS: u32 = 3;
    /// If the process was paused for longer, reports that arrived in the meantime are still unread.
    const MAX_TICK_GAP_MS: u64 = 1000;

    pub fn new(id: ShardId, fencing: FencingToken, previous_end: Instant, clock: C) -> Shard<E, C> {
        let now = clock.now();
        Shard {
            state: RefCell::new(PoolState::new(id, fencing, now)),
            clock,
            fencing,
            engines: RefCell::default(),
            lease_deadline: Cell::default(),
            orders_after: previous_end.plus_ms(Self::COMMAND_TIMEOUT_MS),
            load_limiter: None,
            orders_in_flight: RefCell::default(),
            is_lease_lost: Cell::new(false),
            probes_in_flight: RefCell::default(),
            cancels_in_flight: RefCell::default(),
            last_tick: Cell::new(now),
            next_check: Cell::new(now),
            next_second: Cell::new(now),
        }
    }

    pub fn set_document<F: EngineFactory<Engine = E>>(&self, document: Rc<Document>, factory: &F) {
        let mut state = self.state.borrow_mut();
        state.set_document(document);
        let mut engines = self.engines.borrow_mut();
        engines.retain(|id, (address, _)| {
            state.endpoints.get(id).is_some_and(|e| e.entry.address == *address)
        });
        for (id, endpoint) in &state.endpoints {
            let address = &endpoint.entry.address;
            engines.entry(id.clone()).or_insert_with(|| (address.clone(), factory.engine(address)));
        }
        drop(state);
        self.admit_queued();
    }

    pub fn lose(&self) {
        self.is_lease_lost.set(true);
        self.refuse_queued();
    }

    /// Admits queued requests as far as capacity allows, while the lease is held.
    pub fn admit_queued(&self) {
        if self.is_held() {
            self.state.borrow_mut().admit_queued(self.clock.now());
        }
    }

    pub fn is_held(&self) -> bool {
        !self.is_lease_lost.get() && self.clock.now() < self.lease_deadline.get()
    }

    pub async fn admit(&self, admission: Admission, lease_deadline: Instant) -> AdmitAnswer {
        self.lease_deadline.set(self.lease_deadline.get().max(lease_deadline));
        if !self.is_held() {
            return AdmitAnswer::NotHolder(None);
        }
        let queue_ms = admission.queue_ms.min(admission.remaining_ms);
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let (class, organisation) = (admission.class, admission.organisation.clone());
        let enqueued = self.state.borrow_mut().enqueue(admission, queue_ms, sender, now);
        let ticket = match enqueued {
            Ok(ticket) => ticket,
            Err(SelectionError::NoEndpoint) => return AdmitAnswer::NoEndpoint,
            Err(_) => return self.state.borrow().full(class, &organisation, now),
        };
        let mut guard = QueueGuard { state: &self.state, ticket, receiver };
        self.admit_queued();
        let answer = timeout(Duration::from_millis(queue_ms), &mut guard.receiver).await;
        if !self.is_held() {
            guard.release();
            return AdmitAnswer::NotHolder(None);
        }
        match answer {
            Ok(answer) => answer.unwrap_or(AdmitAnswer::NotHolder(None)),
            Err(_) => guard.receiver.try_recv().unwrap_or_else(|_| {
                self.state.borrow().full(class, &organisation, self.clock.now())
            }),
        }
    }

    /// Runs the periodic work. `lease_deadline` is `None` if the lease has expired.
    pub fn tick(self: &Rc<Self>, lease_deadline: Option<Instant>) {
        self.lease_deadline.set(lease_deadline.unwrap_or_default());
        let now = self.clock.now();
        if now.ms_since(self.last_tick.replace(now)) > Self::MAX_TICK_GAP_MS {
            let until = now.plus_ms(PoolState::REPORT_TIMEOUT_MS);
            self.state.borrow_mut().no_release_before = until;
        }
        if !self.is_held() {
            return self.refuse_queued();
        }
        let is_second_due = now >= self.next_second.get();
        if is_second_due {
            self.next_second.set(now.plus_ms(1000));
            self.state.borrow_mut().tick(now);
        }
        if is_second_due || now >= self.next_check.get() {
            self.next_check.set(now.plus_ms(Self::CHECK_MS));
            let unreported = self.state.borrow_mut().take_unreported(now);
            unreported.into_iter().for_each(|(id, attempt)| self.spawn_cancel(id, attempt));
            self.advance_changes();
            self.spawn_probes(is_second_due);
        }
        self.state.borrow_mut().drop_expired(now);
        self.admit_queued();
    }

    fn refuse_queued(&self) {
        for queued in self.state.borrow_mut().drain_queues() {
            // The caller may have given up already.
            let _ = queued.answer.send(AdmitAnswer::NotHolder(None));
        }
    }

    pub(super) fn engine(&self, id: &EndpointId) -> Option<E> {
        self.engines.borrow().get(id).map(|(_, engine)| engine.clone())
    }

    /// Probes all endpoints once a second, and endpoints that are changing or not up at every
    /// check.
    fn spawn_probes(self: &Rc<Self>, is_second_due: bool) {
        let state = self.state.borrow();
        for (id, endpoint) in &state.endpoints {
            let is_due = is_second_due || endpoint.needs_frequent_probes();
            if is_due && self.probes_in_flight.borrow_mut().insert(id.clone()) {
                let (shard, id) = (self.clone(), id.clone());
                spawn_local(async move {
                    shard.probe(&id).await;
                    shard.probes_in_flight.borrow_mut().remove(&id);
                });
            }
        }
    }

    async fn probe(self: &Rc<Self>, id: &EndpointId) {
        let Some(engine) = self.engine(id) else { return };
        let sent_at = self.clock.now();
        let held = call_engine(engine.held_attempts()).await;
        let is_up = held.is_some() || call_engine(engine.load()).await.is_some();
        if !self.is_held() {
            return;
        }
        if !is_up {
            return self.state.borrow_mut().record_probe_failure(id);
        }
        let reported = call_engine(engine.state()).await;
        if !self.is_held() {
            return;
        }
        if let Some(reported) = reported {
            self.state.borrow_mut().record_state(id, reported, sent_at);
        }
        self.apply_held_list(id, held, sent_at);
        let (is_prefill, after) = match self.state.borrow().endpoints.get(id) {
            Some(e) => (e.entry.role == Role::Prefill, e.cache_sequence),
            None => return,
        };
        if is_prefill && let Some(events) = call_engine(engine.cache_events(after)).await {
            self.state.borrow_mut().apply_cache_events(id, &events, self.clock.now());
        }
    }

    fn apply_held_list(
        self: &Rc<Self>,
        id: &EndpointId,
        held: Option<Vec<HeldAttempt>>,
        sent_at: Instant,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        // Record what the engine holds before new work is admitted.
        let cancels = held.map(|held| state.reconcile(id, &held, sent_at, now));
        if let Some(endpoint) = state.endpoints.get_mut(id) {
            endpoint.record_probe_answer(sent_at);
        }
        drop(state);
        self.admit_queued();
        for attempt in cancels.unwrap_or_default() {
            self.spawn_cancel(id.clone(), attempt);
        }
    }

    pub(super) fn spawn_cancel(self: &Rc<Self>, id: EndpointId, attempt: AttemptId) {
        let key = (id, attempt);
        if self.cancels_in_flight.borrow_mut().insert(key.clone()) {
            let shard = self.clone();
            spawn_local(async move {
                shard.cancel(&key.0, &key.1).await;
                shard.cancels_in_flight.borrow_mut().remove(&key);
            });
        }
    }

    async fn cancel(&self, id: &EndpointId, attempt: &AttemptId) {
        let Some(engine) = self.engine(id) else { return };
        for _ in 0..Self::MAX_CANCELS {
            if !self.is_held() || !self.state.borrow().may_cancel(attempt) {
                return;
            }
            let result = timeout(Self::CALL_TIMEOUT, engine.cancel(attempt)).await;
            if let Ok(Ok(()) | Err(EngineError::UnknownAttempt)) = result {
                self.state.borrow_mut().record_cancelled(id, attempt);
                return self.admit_queued();
            }
        }
        log::warn!(target: "pool", "endpoint {id} did not confirm the cancellation of {attempt}");
    }
}

/// Returns the result of an engine call, or `None` if it failed or timed out.
async fn call_engine<T>(answer: impl Future<Output = Result<T, EngineError>>) -> Option<T> {
    timeout(Duration::from_millis(500), answer).await.ok()?.ok()
}

/// Guard of a queued admission. When the caller gives up, removes the admission from the queue and
/// releases a plan that the caller did not receive.
struct QueueGuard<'a> {
    state: &'a RefCell<PoolState>,
    ticket: QueueTicket,
    receiver: oneshot::Receiver<AdmitAnswer>,
}

impl QueueGuard<'_> {
    fn release(&self) {
        self.state.borrow_mut().release(&self.ticket.attempt);
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Ok(AdmitAnswer::Plan(_)) = self.receiver.try_recv() {
            self.release();
        }
        self.state.borrow_mut().remove_from_queue(&self.ticket);
    }
}
