//! Property tests with random schedules of admissions, completions, reports, silent gateways and
//! crashes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;

use almondroad::clock::{Clock, Instant};
use almondroad::config::{Document, Endpoint, EngineEndpoint};
use almondroad::pool::{Admission, AdmitAnswer, AttemptEnd, Plan, PriorityClass};
use almondroad::units::{AttemptId, EndpointId, Pieces, Tokens};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};
use tokio::task::{LocalSet, spawn_local};

use super::fakes::*;

const GATEWAYS: [&str; 3] = ["g0", "g1", "g2"];

#[derive(Clone, Debug)]
enum Step {
    Admit { gateway: usize, prompt: u64, output: u64, is_waiting: bool, is_suspect: bool },
    Finish(usize),
    Silence(usize),
    Die(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let admit = (0..3usize, 1u64..400, 1u64..300, any::<bool>(), prop::bool::weighted(0.1));
    prop_oneof![
        12 => admit.prop_map(|(gateway, prompt, output, is_waiting, is_suspect)| Step::Admit {
            gateway, prompt, output, is_waiting, is_suspect
        }),
        4 => any::<usize>().prop_map(Step::Finish),
        1 => (0..3usize).prop_map(Step::Silence),
        1 => (0..4usize).prop_map(Step::Die),
        8 => (1u64..1200).prop_map(Step::Advance),
    ]
}

/// The gateways' live attempts, and the time since which a gateway has been silent.
#[derive(Default)]
struct GatewayState {
    live: BTreeMap<AttemptId, (Admission, Plan, u64)>,
    silent: BTreeMap<&'static str, Instant>,
    /// Start time of each endpoint's current warm-up.
    cold_since: BTreeMap<EndpointId, Instant>,
    violation: Option<String>,
}

struct Schedule {
    owner: Rc<Owner>,
    document: Document,
    gateway_state: Rc<RefCell<GatewayState>>,
    admitted: u64,
    next_report: Instant,
    /// Crashed endpoints and the times at which they restart.
    dead: BTreeMap<EndpointId, Instant>,
}

fn entry<'a>(document: &'a Document, id: &EndpointId) -> &'a EngineEndpoint {
    match &document.endpoints[id] {
        Endpoint::Engine(entry) => entry,
        Endpoint::Plain(_) => panic!("not an engine endpoint"),
    }
}

impl Schedule {
    async fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
        let engines = [("p0", "a", 8), ("p1", "b", 4), ("d0", "a", 8), ("d1", "b", 4)];
        let document = document(&engines, &[]);
        let owner = Rc::new(Owner::start(&document, &Engines::default()).await);
        let next_report = owner.clock.now();
        let gateway_state = Rc::default();
        let mut schedule = Schedule {
            owner,
            document,
            gateway_state,
            admitted: 0,
            next_report,
            dead: BTreeMap::new(),
        };
        for step in steps {
            schedule.step(step).await;
            schedule.check()?;
        }
        // All gateways go silent. Everything must be released 5 s later.
        let now = schedule.owner.clock.now();
        schedule.dead.keys().for_each(|id| schedule.owner.engine(id.as_str()).is_dead.set(false));
        GATEWAYS.iter().for_each(|g| {
            schedule.gateway_state.borrow_mut().silent.entry(g).or_insert(now);
        });
        sleep_ms(5000).await;
        for status in schedule.owner.pools.status(&shard()) {
            prop_assert_eq!((status.used_slots, status.used_pieces), (0, Pieces(0)));
        }
        schedule.check()
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Admit { gateway, prompt, output, is_waiting, is_suspect } => {
                self.admitted += 1;
                let mut request = admission(GATEWAYS[gateway], self.admitted, "o");
                (request.prompt_tokens, request.max_output_tokens) =
                    (Tokens(prompt), Tokens(output));
                (request.queue_ms, request.is_suspect) = (800, is_suspect);
                request.class =
                    if is_waiting { PriorityClass::Waiting } else { PriorityClass::Interactive };
                if !self.gateway_state.borrow().silent.contains_key(GATEWAYS[gateway]) {
                    self.admit(request);
                }
            }
            Step::Finish(at) => {
                let attempt = {
                    let gateway_state = self.gateway_state.borrow();
                    let mut live = gateway_state.live.keys();
                    let attempt = live.nth(at % gateway_state.live.len().max(1)).cloned();
                    attempt.filter(|a| !gateway_state.silent.contains_key(a.instance.as_str()))
                };
                if let Some(attempt) = attempt {
                    self.finish(&attempt, AttemptEnd::Completed, None);
                }
            }
            Step::Silence(gateway) => {
                let now = self.owner.clock.now();
                self.gateway_state.borrow_mut().silent.entry(GATEWAYS[gateway]).or_insert(now);
            }
            Step::Die(at) => self.die(at),
            Step::Advance(ms) => self.advance(ms).await,
        }
        tokio::task::yield_now().await;
    }

    /// Admits a request and checks the endpoints' limits at that time against the gateways'
    /// attempts.
    fn admit(&self, request: Admission) {
        let (owner, gateway_state) = (self.owner.clone(), self.gateway_state.clone());
        spawn_local(async move {
            let AdmitAnswer::Plan(plan) = owner.admit(request.clone()).await else { return };
            let now = owner.clock.now();
            let engine = owner.engine(plan.decode.as_str());
            engine.held.borrow_mut().insert(request.attempt.clone(), pieces(&request));
            let mut gateway_state = gateway_state.borrow_mut();
            let cold_ms =
                gateway_state.cold_since.get(&plan.decode).map_or(u64::MAX, |at| now.ms_since(*at));
            // The limit doubles at most once a second, and the first step may come at any time
            // within the first second.
            let most = 2u64 << (cold_ms / 1000 + 1).min(30);
            let used = engine.held.borrow().len() as u64;
            if used > most {
                gateway_state.violation =
                    Some(format!("{used} attempts on {} after {cold_ms} ms", plan.decode));
            }
            // An attempt of a silent gateway counts as long as the engine holds it.
            let is_at_risk = |(other, with, tokens): &&(Admission, Plan, u64)| {
                let is_held = engine.held.borrow().contains_key(&other.attempt);
                let on_decode = with.decode == plan.decode && Tokens(*tokens) < other.proof_tokens;
                is_held && (on_decode || (with.prefill == plan.prefill && *tokens == 0))
            };
            let blocks = |other: &Admission| other.is_suspect || request.is_suspect;
            if gateway_state.live.values().filter(is_at_risk).any(|(other, ..)| blocks(other)) {
                gateway_state.violation =
                    Some(format!("a suspect and another unproven attempt on {}", plan.decode));
            }
            gateway_state.live.insert(request.attempt.clone(), (request, plan, 0));
        });
    }

    fn finish(&self, attempt: &AttemptId, end: AttemptEnd, endpoint: Option<&EndpointId>) {
        if let Some((_, plan, _)) = self.gateway_state.borrow_mut().live.remove(attempt) {
            self.owner.engine(plan.decode.as_str()).held.borrow_mut().remove(attempt);
        }
        self.owner.finish(attempt, end, endpoint);
    }

    /// Crashes an endpoint for 700 ms. The gateways that are not silent notice that their attempts
    /// have ended.
    fn die(&mut self, at: usize) {
        let id = self.document.endpoints.keys().nth(at).cloned().unwrap();
        let now = self.owner.clock.now();
        let engine = self.owner.engine(id.as_str());
        engine.is_dead.set(true);
        engine.held.borrow_mut().clear();
        self.dead.insert(id.clone(), now.plus_ms(700));
        let gateway_state = self.gateway_state.borrow();
        let runs = |(attempt, (_, plan, _)): (&AttemptId, &(Admission, Plan, u64))| {
            (plan.decode == id && !gateway_state.silent.contains_key(attempt.instance.as_str()))
                .then(|| attempt.clone())
        };
        let attempts: Vec<AttemptId> = gateway_state.live.iter().filter_map(runs).collect();
        drop(gateway_state);
        for attempt in &attempts {
            self.finish(attempt, AttemptEnd::EndpointDied, Some(&id));
        }
        if !attempts.is_empty() {
            self.gateway_state.borrow_mut().cold_since.insert(id, now);
        }
    }

    async fn advance(&mut self, ms: u64) {
        let end = self.owner.clock.now().plus_ms(ms);
        while self.owner.clock.now() < end {
            sleep_ms(50).await;
            let now = self.owner.clock.now();
            for (id, back_at) in &self.dead {
                let engine = self.owner.engine(id.as_str());
                engine.is_dead.set(engine.is_dead.get() && now < *back_at);
            }
            if now >= self.next_report {
                self.next_report = now.plus_ms(1000);
                self.report();
            }
        }
    }

    fn report(&self) {
        let mut gateway_state = self.gateway_state.borrow_mut();
        let GatewayState { live, silent, .. } = &mut *gateway_state;
        live.values_mut().for_each(|(_, _, tokens)| *tokens += 20);
        for gateway in GATEWAYS.iter().filter(|g| !silent.contains_key(*g)) {
            let own = live.values().filter(|l| l.0.attempt.instance.as_str() == *gateway);
            self.owner.report(gateway, &own.map(|(a, p, t)| (a, p, *t)).collect::<Vec<_>>());
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let now = self.owner.clock.now();
        let gateway_state = self.gateway_state.borrow();
        prop_assert!(gateway_state.violation.is_none(), "{:?}", gateway_state.violation);
        let is_silent = |attempt: &AttemptId, ms: u64| {
            let since = gateway_state.silent.get(attempt.instance.as_str());
            since.is_some_and(|since| now.ms_since(*since) >= ms)
        };
        for status in self.owner.pools.status(&shard()) {
            let entry = entry(&self.document, &status.endpoint);
            prop_assert!(status.used_pieces <= entry.pieces && status.used_slots <= entry.slots);
            let engine = self.owner.engine(entry.address.as_str());
            let held = engine.held.borrow();
            prop_assert!(held.values().copied().sum::<Pieces>() <= entry.pieces);
            prop_assert!(held.len() as u32 <= entry.slots);
            let left: Vec<_> = held.keys().filter(|attempt| is_silent(attempt, 5000)).collect();
            prop_assert!(left.is_empty(), "still held: {:?}", left);
            let cancelled = engine.cancelled.borrow();
            let live =
                cancelled.iter().find(|a| gateway_state.live.contains_key(a) && !is_silent(a, 0));
            prop_assert!(live.is_none(), "live attempt cancelled: {:?}", live);
        }
        Ok(())
    }
}

/// Keeps `backlog` requests of an organisation queued, and counts those that are served.
async fn flood(
    owner: Rc<Owner>,
    name: String,
    backlog: u64,
    class: PriorityClass,
    served: Rc<RefCell<BTreeMap<String, u64>>>,
) {
    let worker = |at: u64| {
        let (owner, name, served) = (owner.clone(), name.clone(), served.clone());
        async move {
            for round in 0u64.. {
                let mut request = admission(&format!("{name}{class}"), at * 100_000 + round, &name);
                (request.queue_ms, request.remaining_ms) = (600_000, 600_000);
                (request.class, request.prompt_tokens) = (class, Tokens(1));
                // Every request produces 10 tokens, whatever its limit.
                request.max_output_tokens = Tokens(10 + 10 * (name.len() as u64 % 4));
                owner.run(request.clone()).await;
                *served.borrow_mut().entry(name.clone()).or_default() += 1;
                sleep_ms(200).await;
                let plan = owner.status("d0").endpoint;
                owner.engine(plan.as_str()).held.borrow_mut().remove(&request.attempt);
                owner.finish(&request.attempt, AttemptEnd::Completed, None);
            }
        }
    };
    futures::future::join_all((0..backlog).map(worker)).await;
}

/// Returns names of different lengths, from which `flood` derives different token limits.
fn name(at: usize) -> String {
    "o".repeat(at + 1)
}

/// Returns the number of requests served for each organisation in 20 s, after 10 s of warm-up.
async fn served(floods: Vec<(String, u64, PriorityClass, u32)>) -> BTreeMap<String, u64> {
    let weights: Vec<_> = floods.iter().map(|f| (f.0.as_str(), f.3)).collect();
    let document = document(&[("p0", "a", 4), ("d0", "a", 4)], &weights);
    let owner = Rc::new(Owner::start(&document, &Engines::default()).await);
    let served = Rc::new(RefCell::new(BTreeMap::new()));
    for (name, backlog, class, _) in floods {
        spawn_local(flood(owner.clone(), name, backlog, class, served.clone()));
    }
    sleep_ms(10_000).await;
    served.borrow_mut().clear();
    sleep_ms(20_000).await;
    served.take()
}

pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

pub fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config(200, 21))]

    /// Guards against overcommitted endpoints, memory that stays held, cancelled live attempts, and
    /// unproven attempts on the same endpoint as an unproven suspect, in any order of events.
    #[test]
    fn capacity_limits_hold_in_any_schedule(steps in prop::collection::vec(step(), 1..120)) {
        block_on(Schedule::run(steps))?;
    }
}

proptest! {
    #![proptest_config(config(24, 22))]

    /// Guards against an organisation that increases its share by sending five times as many
    /// requests.
    #[test]
    fn shares_follow_weights_at_any_offered_load(weights in prop::collection::vec(1u32..5, 2..5)) {
        let flood = |(at, weight): (usize, &u32)| {
            (name(at), if at == 0 { 100 } else { 20 }, PriorityClass::Interactive, *weight)
        };
        let served = block_on(served(weights.iter().enumerate().map(flood).collect()));
        let (all, sum) = (served.values().sum::<u64>() as f64, weights.iter().sum::<u32>());
        prop_assert!(all >= 300.0, "the pool served only {} requests", all);
        for (at, weight) in weights.iter().enumerate() {
            let share = f64::from(*weight) / f64::from(sum);
            let got = served[&name(at)] as f64 / all;
            prop_assert!(got >= share * 0.95 - 2.0 / all, "o{} of weight {}: {}", at, weight, got);
        }
    }

    /// Guards against a waiting class that starves under a flood of interactive requests.
    #[test]
    fn the_waiting_class_gets_one_admission_in_ten(backlog in 1u64..20, flood in 20u64..100) {
        let served = block_on(served(vec![
            ("interactive".into(), flood, PriorityClass::Interactive, 5),
            ("waiting".into(), backlog.max(2), PriorityClass::Waiting, 1),
        ]));
        let all: u64 = served.values().sum();
        prop_assert!(served["waiting"] + 1 >= all / 10, "{:?}", served);
        prop_assert!(served["interactive"] >= all / 2, "{:?}", served);
    }
}
