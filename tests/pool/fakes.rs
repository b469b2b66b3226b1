//! Fake engine, gateway and pool owner for the tests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use almondroad::clock::{Clock, Instant, TokioClock};
use almondroad::config::{
    Document, Endpoint, EngineEndpoint, Keys, Model, Organisation, Role, ServiceState, Zone,
};
use almondroad::engine::*;
use almondroad::pool::*;
use almondroad::suspect::InterruptedRequest;
use almondroad::units::*;
use tokio::task::{JoinHandle, spawn_local};

/// Engine whose held attempts, failures and lost responses are set by the test.
#[derive(Clone, Default)]
pub struct FakeEngine {
    pub held: Rc<RefCell<BTreeMap<AttemptId, Pieces>>>,
    pub cancelled: Rc<RefCell<Vec<AttemptId>>>,
    pub orders: Rc<RefCell<Vec<OrderRequest>>>,
    pub events: Rc<RefCell<CacheEvents>>,
    pub is_dead: Rc<Cell<bool>>,
    pub cancels_to_lose: Rc<Cell<u32>>,
    pub state: Rc<RefCell<EngineState>>,
    /// Number of order responses to lose after the order has taken effect.
    pub order_answers_to_lose: Rc<Cell<u32>>,
    pub refuses_orders: Rc<Cell<bool>>,
    /// Newest fencing number, for engines that check it.
    pub newest_fencing: Rc<Cell<FencingToken>>,
    pub load_starts: Rc<RefCell<Vec<tokio::time::Instant>>>,
}

pub struct EmptyStream;

impl TokenStream for EmptyStream {
    async fn next(&mut self) -> Result<Option<DecodeEvent>, EngineError> {
        Ok(None)
    }
}

impl FakeEngine {
    /// Longer than the interval after which an owner repeats an order.
    pub const LOAD_MS: u64 = 6000;

    fn apply(&self, order: &Order) {
        let mut state = self.state.borrow_mut();
        if let Order::SetRole { role } = order {
            let role = if role == "prefill" { Role::Prefill } else { Role::Decode };
            state.roles = vec![role];
            return;
        }
        state.loading = Some(order.clone());
        self.load_starts.borrow_mut().push(tokio::time::Instant::now());
        let (engine, order) = (self.clone(), order.clone());
        spawn_local(async move {
            sleep_ms(FakeEngine::LOAD_MS).await;
            let mut state = engine.state.borrow_mut();
            state.loading = None;
            match order {
                Order::SetRole { .. } => {}
                Order::LoadModel { model, revision } => {
                    state.models.get_or_insert_default().insert(model, revision);
                }
                Order::LoadAdapter { adapter, revision } => {
                    state.adapters.insert(adapter, revision);
                }
            }
        });
    }

    async fn answer<T>(&self, value: T) -> Result<T, EngineError> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        if self.is_dead.get() { Err(EngineError::StreamCut) } else { Ok(value) }
    }
}

impl Engine for FakeEngine {
    type Stream = EmptyStream;

    async fn prefill(&self, _: &PrefillRequest) -> Result<PrefillResult, EngineError> {
        Err(EngineError::Full)
    }

    async fn decode(&self, _: &DecodeRequest) -> Result<EmptyStream, EngineError> {
        Err(EngineError::Full)
    }

    async fn cancel(&self, attempt: &AttemptId) -> Result<(), EngineError> {
        if self.cancels_to_lose.get() > 0 {
            self.cancels_to_lose.set(self.cancels_to_lose.get() - 1);
            std::future::pending::<()>().await;
        }
        self.answer(()).await?;
        self.cancelled.borrow_mut().push(attempt.clone());
        self.held.borrow_mut().remove(attempt);
        Ok(())
    }

    async fn held_attempts(&self) -> Result<Vec<HeldAttempt>, EngineError> {
        let held = self.held.borrow().clone().into_iter();
        self.answer(held.map(|(attempt, pieces)| HeldAttempt { attempt, pieces }).collect()).await
    }

    async fn load(&self) -> Result<LoadReport, EngineError> {
        self.answer(LoadReport::default()).await
    }

    async fn state(&self) -> Result<EngineState, EngineError> {
        let state = self.state.borrow().clone();
        self.answer(state).await
    }

    async fn order(&self, request: &OrderRequest) -> Result<(), EngineError> {
        if self.refuses_orders.get() {
            return Err(EngineError::Refused { reason: "unknown_revision".into() });
        }
        if request.fencing < self.newest_fencing.get() {
            return Err(EngineError::Fenced { newest: self.newest_fencing.get() });
        }
        self.newest_fencing.set(request.fencing);
        self.orders.borrow_mut().push(request.clone());
        self.apply(&request.order);
        if self.order_answers_to_lose.get() > 0 {
            self.order_answers_to_lose.set(self.order_answers_to_lose.get() - 1);
            std::future::pending::<()>().await;
        }
        self.answer(()).await
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
        let events = self.events.borrow().clone();
        self.answer(events).await
    }

    fn reset_connections(&self) {}
}

/// Engines by address, shared by an owner and its successor.
#[derive(Clone, Default)]
pub struct Engines(Rc<RefCell<BTreeMap<String, FakeEngine>>>);

impl EngineFactory for Engines {
    type Engine = FakeEngine;

    fn engine(&self, address: &str) -> FakeEngine {
        let make = || {
            let engine = FakeEngine::default();
            let role = if address.starts_with('p') { Role::Prefill } else { Role::Decode };
            engine.state.borrow_mut().roles = vec![role];
            engine
        };
        self.0.borrow_mut().entry(address.to_owned()).or_insert_with(make).clone()
    }
}

pub fn shard() -> ShardId {
    "pool/south/m/0".parse().unwrap()
}

/// Each engine is given as id (which is also the address; `p..` prefill, `d..` decode), zone and
/// slots. An engine has 100 pieces of 10 tokens, takes 1 ms of prefill for a token, and transfers
/// 1,000 bytes for a token over a link of 1 MB/s.
pub fn document(engines: &[(&str, &str, u32)], weights: &[(&str, u32)]) -> Document {
    let zone = |name: &str| {
        (ZoneId::new(name), Zone { region: "south".parse().unwrap(), state: ServiceState::In })
    };
    let model = Model {
        max_prompt_tokens: Tokens(10_000),
        max_output_tokens: Tokens(10_000),
        tokens_per_piece: Tokens(10),
        kv_bytes_per_token: 1000,
        prefill_us_per_token: 1000,
        min_bytes_per_token: 1,
        revision: Default::default(),
        weights_bytes: 0,
        adapters: Default::default(),
    };
    let endpoint = |&(id, zone, slots): &(&str, &str, u32)| {
        let engine = EngineEndpoint {
            address: id.into(),
            zone: ZoneId::new(zone),
            role: if id.starts_with('p') { Role::Prefill } else { Role::Decode },
            model: ModelId::new("m"),
            slice: 0,
            pieces: Pieces(100),
            slots,
            link_bytes_per_s: 1_000_000,
            checks_fencing: id.ends_with('f'),
            state: ServiceState::In,
        };
        (EndpointId::new(id), Endpoint::Engine(engine))
    };
    let organisation = |&(id, weight): &(&str, u32)| {
        (OrganisationId::new(id), Organisation { keys: Keys::default(), weight })
    };
    Document {
        zones: engines.iter().map(|engine| zone(engine.1)).collect(),
        models: [(ModelId::new("m"), model)].into(),
        endpoints: Rc::new(engines.iter().map(endpoint).collect()),
        organisations: Rc::new(weights.iter().map(organisation).collect()),
        ..Default::default()
    }
}

/// An owner of the pool, with its periodic work running.
pub struct Owner {
    pub pools: Rc<Pools<Engines, TokioClock>>,
    pub engines: Engines,
    pub clock: TokioClock,
    pub has_lease: Rc<Cell<bool>>,
    run: JoinHandle<()>,
}

impl Owner {
    /// Acquires the pool and waits until its endpoints have been probed.
    pub async fn start(document: &Document, engines: &Engines) -> Owner {
        let owner = Owner::gain(document, engines);
        sleep_ms(100).await;
        owner
    }

    pub fn gain(document: &Document, engines: &Engines) -> Owner {
        Owner::gain_with(document, engines, FencingToken(7), None)
    }

    pub fn gain_with(
        document: &Document,
        engines: &Engines,
        fencing: FencingToken,
        draws: Option<WeightLoadLimiter>,
    ) -> Owner {
        let clock = TokioClock::new();
        let mut pools = Pools::new(engines.clone(), clock);
        if let Some(draws) = draws {
            pools = pools.with_weight_load_limiter(draws);
        }
        let pools = Rc::new(pools);
        pools.set_document(Rc::new(document.clone()));
        pools.gain(shard(), fencing, clock.now());
        let has_lease = Rc::new(Cell::new(true));
        let (running, leased) = (pools.clone(), has_lease.clone());
        let run = spawn_local(async move {
            running.run(|_| leased.get().then(|| clock.now().plus_ms(3000))).await;
        });
        Owner { pools, engines: engines.clone(), clock, has_lease, run }
    }

    pub fn stop(&self) {
        self.run.abort();
        self.pools.lose(&shard());
    }

    pub fn engine(&self, id: &str) -> FakeEngine {
        self.engines.engine(id)
    }

    pub fn lease_deadline(&self) -> Instant {
        self.clock.now().plus_ms(3000)
    }

    pub async fn admit(&self, admission: Admission) -> AdmitAnswer {
        self.pools.admit(admission, self.lease_deadline()).await
    }

    /// Admits a request and makes the decode engine hold its memory, as a gateway would.
    pub async fn run(&self, admission: Admission) -> Plan {
        let attempt = admission.attempt.clone();
        let pieces = pieces(&admission);
        let AdmitAnswer::Plan(plan) = self.admit(admission).await else { panic!("refused") };
        self.engine(plan.decode.as_str()).held.borrow_mut().insert(attempt, pieces);
        plan
    }

    /// Returns the requests that were running on an endpoint, if this is the first report of its
    /// crash.
    pub fn finish(
        &self,
        attempt: &AttemptId,
        end: AttemptEnd,
        endpoint: Option<&EndpointId>,
    ) -> Vec<InterruptedRequest> {
        self.pools.finish(&shard(), finished(attempt, end, endpoint))
    }

    pub fn report(&self, gateway: &str, attempts: &[(&Admission, &Plan, u64)]) {
        let progress = |(admission, plan, tokens): &(&Admission, &Plan, u64)| Progress {
            attempt: admission.attempt.clone(),
            output_tokens: Tokens(*tokens),
            organisation: admission.organisation.clone(),
            prefill: plan.prefill.clone(),
            decode: plan.decode.clone(),
            pieces: pieces(admission),
            remaining_ms: 60_000,
            fingerprint: admission.fingerprint,
            is_suspect: admission.is_suspect,
            proof_tokens: admission.proof_tokens,
        };
        let attempts = attempts.iter().map(progress).collect();
        self.pools.report(&InstanceId::new(gateway), Incarnation(1), &shard(), attempts);
    }

    pub fn status(&self, id: &str) -> EndpointStatus {
        let status = self.pools.status(&shard());
        status.into_iter().find(|s| s.endpoint.as_str() == id).unwrap()
    }
}

pub fn finished(
    attempt: &AttemptId,
    end: AttemptEnd,
    endpoint: Option<&EndpointId>,
) -> FinishedAttempt {
    FinishedAttempt {
        attempt: attempt.clone(),
        end,
        endpoint: endpoint.cloned(),
        is_unreached: false,
        output_tokens: Tokens(10),
        first_token_ms: 50,
        decode_ms: 300,
    }
}

pub fn pieces(admission: &Admission) -> Pieces {
    Pieces((admission.prompt_tokens + admission.max_output_tokens).get().div_ceil(10))
}

pub fn admission(gateway: &str, sequence: u64, organisation: &str) -> Admission {
    Admission {
        attempt: AttemptId {
            instance: InstanceId::new(gateway),
            incarnation: Incarnation(1),
            sequence,
        },
        organisation: OrganisationId::new(organisation),
        shard: shard(),
        prompt_tokens: Tokens(10),
        max_output_tokens: Tokens(10),
        prefix_hashes: Vec::new(),
        class: PriorityClass::Interactive,
        remaining_ms: 60_000,
        queue_ms: 0,
        fingerprint: Fingerprint(sequence),
        is_suspect: false,
        proof_tokens: Tokens(8),
        avoid: Vec::new(),
        zone: ZoneId::new("a"),
    }
}

pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
