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
/// Calls in a run of the full length; the target is stated for as many.
const LEAST_CALLS: f64 = 1_000.0;
const FULL_LENGTH: Duration = Duration::from_secs(15);
const MAX_TRIES: u32 = 40;
const MAX_UNKNOWN: u32 = 3;
const TRY_DELAY: Duration = Duration::from_millis(100);
const LOOKUP_DELAY: Duration = Duration::from_millis(40);
const FAULT_TIME: Duration = Duration::from_millis(400);
/// Answers that were lost on the way may still have an effect until then.
const LATE_EFFECTS: Duration = Duration::from_millis(500);

/// Calls that must run at most once, under failures of every part.
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
    let world = Rc::new(World {
        organisation: options.deployment.organisations()[0].into(),
        addresses: RefCell::new(fleet.addresses()),
        end: Instant::now() + options.load,
        next_call: Cell::new(0),
        seen: RefCell::default(),
    });
    let mut callers = JoinSet::new();
    for i in 0..CALLERS {
        let random = StdRng::seed_from_u64(options.seed ^ ((i + 1) << 32));
        callers.spawn_local(Rc::clone(&world).order_until_end(random));
    }
    let random = StdRng::seed_from_u64(options.seed ^ 0xfa11);
    callers.spawn_local(Rc::clone(&world).look_up_until_end(random));
    let random = StdRng::seed_from_u64(options.seed ^ 0xc4a0);
    bring_faults_about(&mut fleet, &world, random).await?;
    while callers.join_next().await.is_some() {}
    sleep(LATE_EFFECTS).await;
    let seen = world.seen.take();
    report_calls(&seen, &count_effects(&file.to_path_buf()), options, report);
    report_keys(&fleet, report).await;
    Ok(())
}

/// What the callers share.
struct World {
    organisation: SmolStr,
    addresses: RefCell<Vec<SmolStr>>,
    end: Instant,
    next_call: Cell<u64>,
    seen: RefCell<Seen>,
}

/// What the callers saw.
#[derive(Default)]
struct Seen {
    /// Effects of calls that were only ever refused as not run.
    not_run: Vec<String>,
    answered: u64,
    unknown: u64,
    other_answers: Vec<String>,
    accepted_other_bodies: u64,
    lookups: u64,
    refused_lookups: u64,
}

impl World {
    fn address(&self, random: &mut StdRng) -> SmolStr {
        let addresses = self.addresses.borrow();
        addresses[random.random_range(0..addresses.len())].clone()
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    async fn order_until_end(self: Rc<World>, mut random: StdRng) {
        while !self.is_over() && self.next_call.get() < MAX_CALLS {
            self.next_call.set(self.next_call.get() + 1);
            let effect = format!("order-{}", self.next_call.get());
            self.order(&effect, &mut random).await;
        }
    }

    /// Repeats a call through other gateways until it has an answer. Some callers give up after
    /// a refusal that says `not_run`.
    async fn order(&self, effect: &str, random: &mut StdRng) {
        let gives_up = random.random_ratio(1, 4);
        let call = self.call(effect, json!({ "order": effect, "lot": 7 }));
        let mut unknown = 0;
        let mut may_have_run = false;
        for _ in 0..MAX_TRIES {
            match call.send(&self.address(random)).await {
                ServiceAnswer::Answered { body } => {
                    self.seen.borrow_mut().answered += 1;
                    return self.repeat(&call, &body, effect, random).await;
                }
                ServiceAnswer::NotRun { .. } if gives_up => break,
                ServiceAnswer::NotRun { .. } => {}
                ServiceAnswer::Unknown => {
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
        let mut seen = self.seen.borrow_mut();
        if may_have_run {
            seen.unknown += 1;
        } else {
            seen.not_run.push(effect.into());
        }
    }

    /// Repeats an answered call with the same body and with another.
    async fn repeat(&self, call: &ServiceCall, first: &str, effect: &str, random: &mut StdRng) {
        if let ServiceAnswer::Answered { body } = call.send(&self.address(random)).await
            && body != first
        {
            self.seen.borrow_mut().other_answers.push(format!("{first} then {body}"));
        }
        let other = self.call(effect, json!({ "order": effect, "lot": 8 }));
        match other.send(&self.address(random)).await {
            ServiceAnswer::Answered { .. } | ServiceAnswer::Unknown => {
                self.seen.borrow_mut().accepted_other_bodies += 1;
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

    /// Look-ups may be answered by any service, so they are refused only by a gateway that dies.
    async fn look_up_until_end(self: Rc<World>, mut random: StdRng) {
        let call = ServiceCall {
            organisation: self.organisation.clone(),
            method: Method::GET,
            path: "/stock/linen".into(),
            idempotency_key: None,
            body: String::new(),
        };
        while !self.is_over() {
            let answer = call.send(&self.address(&mut random)).await;
            self.note_look_up(&answer);
            sleep(LOOKUP_DELAY).await;
        }
    }

    fn note_look_up(&self, answer: &ServiceAnswer) {
        let mut seen = self.seen.borrow_mut();
        match answer {
            ServiceAnswer::NoAnswer => {}
            // A gateway that was just replaced is not sure yet of its configuration.
            ServiceAnswer::NotRun { code } if code == "stale_configuration" => {}
            ServiceAnswer::Answered { .. } => seen.lookups += 1,
            ServiceAnswer::NotRun { .. } | ServiceAnswer::Unknown => seen.refused_lookups += 1,
        }
    }
}

/// Brings one fault after the other about. At least one service lives at any time.
async fn bring_faults_about(
    fleet: &mut Fleet,
    world: &World,
    mut random: StdRng,
) -> Result<(), BenchError> {
    let mut kind = 0;
    while !world.is_over() {
        let index = random.random_range(0..3);
        let side = if random.random() { FaultPoint::BeforeEffect } else { FaultPoint::AfterEffect };
        match kind % 5 {
            0 => {
                sleep(Duration::from_millis(random.random_range(0..200))).await;
                fleet.gateways[index].kill();
                fleet.gateways[index].wait().await;
                fleet.replace_gateway(index).await?;
                *world.addresses.borrow_mut() = fleet.addresses();
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
                trouble_platform(fleet, faults).await?;
            }
            _ => {
                trouble_platform(fleet, PlatformFaults { down: true, ..Default::default() }).await?
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
    // Without a call in that time it lives on.
    service.kill();
    service.wait().await;
    fleet.plain[index] = fleet.restart_standin(&fleet.plain[index], "plain").await?;
    Ok(())
}

async fn trouble_platform(fleet: &Fleet, faults: PlatformFaults) -> Result<(), BenchError> {
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
    seen: &Seen,
    effects: &BTreeMap<String, u64>,
    options: &Options,
    report: &mut Report,
) {
    let none = Bound::AtMost(0.0);
    let calls = seen.answered + seen.unknown + seen.not_run.len() as u64;
    let least = LEAST_CALLS * (options.load.as_secs_f64() / FULL_LENGTH.as_secs_f64()).min(1.0);
    report.bounded("calls", calls as f64, "calls", Bound::AtLeast(least.floor()));
    report.value(PRODUCT, "answered", seen.answered as f64, "calls");
    report.value(PRODUCT, "outcome unknown", seen.unknown as f64, "calls");
    report.value(PRODUCT, "given up as not run", seen.not_run.len() as f64, "calls");
    let twice = effects.values().filter(|count| **count > 1).count();
    report.bounded("effects that took place twice", twice as f64, "calls", none);
    let untrue = seen.not_run.iter().filter(|effect| effects.contains_key(*effect)).count();
    report.bounded("refused as not run but run", untrue as f64, "calls", none);
    for answers in seen.other_answers.iter().take(3) {
        report.progress(&format!("other answer to a repeat: {answers}"));
    }
    report.bounded("other answers to repeats", seen.other_answers.len() as f64, "calls", none);
    report.bounded("other bodies accepted", seen.accepted_other_bodies as f64, "calls", none);
    report.value(PRODUCT, "look-ups", seen.lookups as f64, "calls");
    report.bounded("look-ups refused", seen.refused_lookups as f64, "calls", none);
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
