//! Experiment `reorder`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::bench::experiments::service_call::{ServiceAnswer, ServiceCall};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::{BenchError, Fleet, FleetBuilder, Options, Process, Report};
use crate::standin::{FaultPoint, PlainFaults, PlainStats, PlatformFaults};

const CALLERS: u64 = 24;
const MAX_CALLS: u64 = 1_500;
/// Minimum number of calls in a run of the full length, as the acceptance target states it.
const MIN_CALLS: f64 = 1_000.0;
const FULL_LENGTH: Duration = Duration::from_secs(15);
const MAX_TRIES: u32 = 40;
const MAX_UNKNOWN: u32 = 3;
const TRY_DELAY: Duration = Duration::from_millis(100);
const LOOKUP_DELAY: Duration = Duration::from_millis(40);
const FAULT_TIME: Duration = Duration::from_millis(400);
/// Calls whose response was lost may still take effect during this time.
const LATE_EFFECT_WAIT: Duration = Duration::from_millis(500);

/// Sends calls that must run at most once while gateways, services and the platform fail.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let file = std::env::temp_dir().join(format!("effects-{:016x}", rand::random::<u64>()));
    let ended = run_with_effects(options, report, &file).await;
    let _ = std::fs::remove_file(&file);
    ended
}

async fn run_with_effects(
    options: &Options,
    report: &mut Report,
    file: &Path,
) -> Result<(), BenchError> {
    let effects_file = file.to_string_lossy().into_owned();
    let mut fleet = FleetBuilder::new(options.programs.clone(), options.deployment)
        .gateways(3)
        .engines(1, 1)
        .plain_services(3)
        .slices(1)
        .plain(|plain| plain.effects_file = Some(effects_file))
        .start()
        .await?;
    let shared = Rc::new(SharedState {
        organisation: options.deployment.organisations()[0].into(),
        addresses: RefCell::new(fleet.addresses()),
        end: Instant::now() + options.load,
        next_call: Cell::new(0),
        observed: RefCell::default(),
    });
    let mut callers = JoinSet::new();
    for i in 0..CALLERS {
        let random = StdRng::seed_from_u64(options.seed ^ ((i + 1) << 32));
        callers.spawn_local(Rc::clone(&shared).order_until_end(random));
    }
    let random = StdRng::seed_from_u64(options.seed ^ 0xfa11);
    callers.spawn_local(Rc::clone(&shared).look_up_until_end(random));
    let random = StdRng::seed_from_u64(options.seed ^ 0xc4a0);
    inject_faults(&mut fleet, &shared, random, report).await?;
    while callers.join_next().await.is_some() {}
    sleep(LATE_EFFECT_WAIT).await;
    let observed = shared.observed.take();
    report_calls(&observed, &count_effects(&file.to_path_buf()), options, report);
    report_keys(&fleet, report).await;
    Ok(())
}

/// State that the callers share.
struct SharedState {
    organisation: SmolStr,
    addresses: RefCell<Vec<SmolStr>>,
    end: Instant,
    next_call: Cell<u64>,
    observed: RefCell<Observed>,
}

/// Results that the callers observed.
#[derive(Default)]
struct Observed {
    /// Effects of the calls whose every try was refused as not run.
    not_run: Vec<String>,
    answered: u64,
    unknown: u64,
    other_answers: Vec<String>,
    accepted_other_bodies: u64,
    lookups: u64,
    /// Codes of refused look-ups with the times at which the answers came.
    refused_lookups: Vec<String>,
}

impl SharedState {
    fn address(&self, random: &mut StdRng) -> SmolStr {
        let addresses = self.addresses.borrow();
        addresses[random.random_range(0..addresses.len())].clone()
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    /// Time to the end of the load, for matching a refusal with the injected faults.
    fn time_left(&self) -> String {
        format!("{} ms before the end", (self.end - Instant::now()).as_millis())
    }

    async fn order_until_end(self: Rc<SharedState>, mut random: StdRng) {
        while !self.is_over() && self.next_call.get() < MAX_CALLS {
            self.next_call.set(self.next_call.get() + 1);
            let effect = format!("order-{}", self.next_call.get());
            self.order(&effect, &mut random).await;
        }
    }

    /// Repeats a call through random gateways until it is answered. Some callers give up after a
    /// refusal with the outcome `not_run`.
    async fn order(&self, effect: &str, random: &mut StdRng) {
        let gives_up = random.random_ratio(1, 4);
        let call = self.call(effect, json!({ "order": effect, "lot": 7 }));
        let mut unknown = 0;
        let mut may_have_run = false;
        for _ in 0..MAX_TRIES {
            match call.send(&self.address(random)).await {
                ServiceAnswer::Answered { body } => {
                    self.observed.borrow_mut().answered += 1;
                    return self.repeat(&call, &body, effect, random).await;
                }
                ServiceAnswer::NotRun { .. } if gives_up => break,
                ServiceAnswer::NotRun { .. } => {}
                ServiceAnswer::Unknown { .. } => {
                    may_have_run = true;
                    unknown += 1;
                }
                ServiceAnswer::NoAnswer => may_have_run = true,
            }
            if unknown >= MAX_UNKNOWN {
                break;
            }
            sleep(TRY_DELAY).await;
        }
        let mut observed = self.observed.borrow_mut();
        if may_have_run {
            observed.unknown += 1;
        } else {
            observed.not_run.push(effect.into());
        }
    }

    /// Repeats an answered call with the same body and with a different one.
    async fn repeat(&self, call: &ServiceCall, first: &str, effect: &str, random: &mut StdRng) {
        if let ServiceAnswer::Answered { body } = call.send(&self.address(random)).await
            && body != first
        {
            self.observed.borrow_mut().other_answers.push(format!("{first} then {body}"));
        }
        let other = self.call(effect, json!({ "order": effect, "lot": 8 }));
        match other.send(&self.address(random)).await {
            ServiceAnswer::Answered { .. } | ServiceAnswer::Unknown { .. } => {
                self.observed.borrow_mut().accepted_other_bodies += 1;
            }
            ServiceAnswer::NotRun { .. } | ServiceAnswer::NoAnswer => {}
        }
    }

    fn call(&self, effect: &str, body: serde_json::Value) -> ServiceCall {
        ServiceCall {
            organisation: self.organisation.clone(),
            method: Method::POST,
            path: "/orders".into(),
            idempotency_key: Some(format!("key-{effect}")),
            body: body.to_string(),
        }
    }

    /// Sends look-ups. Any service may answer them, so they may fail only with a dying gateway.
    async fn look_up_until_end(self: Rc<SharedState>, mut random: StdRng) {
        let call = ServiceCall {
            organisation: self.organisation.clone(),
            method: Method::GET,
            path: "/stock/linen".into(),
            idempotency_key: None,
            body: String::new(),
        };
        while !self.is_over() {
            let answer = call.send(&self.address(&mut random)).await;
            self.record_look_up(&answer);
            sleep(LOOKUP_DELAY).await;
        }
    }

    fn record_look_up(&self, answer: &ServiceAnswer) {
        let mut observed = self.observed.borrow_mut();
        match answer {
            ServiceAnswer::NoAnswer => {}
            // A gateway that was just replaced has not confirmed its configuration yet.
            ServiceAnswer::NotRun { code } if code == "stale_configuration" => {}
            ServiceAnswer::Answered { .. } => observed.lookups += 1,
            ServiceAnswer::NotRun { code } => {
                let refusal = format!("not_run, {code}, {}", self.time_left());
                observed.refused_lookups.push(refusal);
            }
            ServiceAnswer::Unknown { status, code } => {
                let refusal = format!("{status}, {code}, {}", self.time_left());
                observed.refused_lookups.push(refusal);
            }
        }
    }
}

/// Injects one fault after the other. At least one service is running at any time.
async fn inject_faults(
    fleet: &mut Fleet,
    shared: &SharedState,
    mut random: StdRng,
    report: &Report,
) -> Result<(), BenchError> {
    let mut kind = 0;
    while !shared.is_over() {
        report.progress(&format!("fault {}, {}", kind % 5, shared.time_left()));
        let index = random.random_range(0..3);
        let side = if random.random() { FaultPoint::BeforeEffect } else { FaultPoint::AfterEffect };
        match kind % 5 {
            0 => {
                sleep(Duration::from_millis(random.random_range(0..200))).await;
                fleet.gateways[index].kill();
                fleet.gateways[index].wait().await;
                fleet.replace_gateway(index).await?;
                *shared.addresses.borrow_mut() = fleet.addresses();
            }
            1 => crash_service(fleet, index, side).await?,
            2 => {
                let faults = PlainFaults { cut: Some(side), ..PlainFaults::default() };
                fleet.set_faults(&fleet.plain[index], &faults).await?;
                sleep(FAULT_TIME).await;
                fleet.set_faults(&fleet.plain[index], &PlainFaults::default()).await?;
            }
            3 => {
                let lost_answers_hang = random.random();
                let lose_answer_permille = 300;
                let faults = PlatformFaults {
                    lose_answer_permille,
                    lost_answers_hang,
                    ..PlatformFaults::default()
                };
                inject_platform_faults(fleet, faults).await?;
            }
            _ => {
                inject_platform_faults(fleet, PlatformFaults { down: true, ..Default::default() })
                    .await?
            }
        }
        kind += 1;
        sleep(Duration::from_millis(random.random_range(0..200))).await;
    }
    Ok(())
}

async fn crash_service(
    fleet: &mut Fleet,
    index: usize,
    side: FaultPoint,
) -> Result<(), BenchError> {
    let faults = PlainFaults { crash: Some(side), ..PlainFaults::default() };
    fleet.set_faults(&fleet.plain[index], &faults).await?;
    sleep(FAULT_TIME).await;
    let service: &mut Process = &mut fleet.plain[index];
    // The service crashes only on a call; kills it in case there was none.
    service.kill();
    service.wait().await;
    fleet.plain[index] = fleet.restart_standin(&fleet.plain[index], "plain").await?;
    Ok(())
}

async fn inject_platform_faults(fleet: &Fleet, faults: PlatformFaults) -> Result<(), BenchError> {
    fleet.set_faults(&fleet.platform, &faults).await?;
    sleep(FAULT_TIME).await;
    fleet.set_faults(&fleet.platform, &PlatformFaults::default()).await
}

fn count_effects(file: &PathBuf) -> BTreeMap<String, u64> {
    let mut effects = BTreeMap::new();
    for line in std::fs::read_to_string(file).unwrap_or_default().lines() {
        *effects.entry(line.to_owned()).or_default() += 1;
    }
    effects
}

fn report_calls(
    observed: &Observed,
    effects: &BTreeMap<String, u64>,
    options: &Options,
    report: &mut Report,
) {
    let none = Bound::AtMost(0.0);
    let calls = observed.answered + observed.unknown + observed.not_run.len() as u64;
    let least = MIN_CALLS * (options.load.as_secs_f64() / FULL_LENGTH.as_secs_f64()).min(1.0);
    report.bounded("calls", calls as f64, "calls", Bound::AtLeast(least.floor()));
    report.value(PRODUCT, "answered", observed.answered as f64, "calls");
    report.value(PRODUCT, "outcome unknown", observed.unknown as f64, "calls");
    report.value(PRODUCT, "given up as not run", observed.not_run.len() as f64, "calls");
    let twice = effects.values().filter(|count| **count > 1).count();
    report.bounded("effects that took place twice", twice as f64, "calls", none);
    let falsely_refused =
        observed.not_run.iter().filter(|effect| effects.contains_key(*effect)).count();
    report.bounded("refused as not run but run", falsely_refused as f64, "calls", none);
    for answers in observed.other_answers.iter().take(3) {
        report.progress(&format!("other answer to a repeat: {answers}"));
    }
    report.bounded("other answers to repeats", observed.other_answers.len() as f64, "calls", none);
    report.bounded("other bodies accepted", observed.accepted_other_bodies as f64, "calls", none);
    report.value(PRODUCT, "look-ups", observed.lookups as f64, "calls");
    for refusal in &observed.refused_lookups {
        report.progress(&format!("refused look-up: {refusal}"));
    }
    report.bounded("look-ups refused", observed.refused_lookups.len() as f64, "calls", none);
}

async fn report_keys(fleet: &Fleet, report: &mut Report) {
    let mut leaked = 0;
    for service in &fleet.plain {
        if let Ok(stats) = fleet.stats::<PlainStats>(service).await {
            leaked += stats.secrets.with_secret;
        }
    }
    report.bounded("keys seen by endpoints", leaked as f64, "requests", Bound::AtMost(0.0));
}
