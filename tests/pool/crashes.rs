//! Simulates poison prompts, which crash engines, with a pool owner and a `Suspects` as in a
//! gateway.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use almondroad::clock::TokioClock;
use almondroad::config::Role;
use almondroad::pool::{Admission, AdmitAnswer, AttemptEnd, Plan};
use almondroad::suspect::Suspects;
use almondroad::units::{EndpointId, Fingerprint, Tokens};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use tokio::task::spawn_local;

use super::fakes::*;
use super::properties::{block_on, config};

const ANSWER_TOKENS: u64 = 40;
const REPEATS: usize = 3;

/// A poison prompt, which crashes its prefill endpoint, or its decode endpoint at the given token.
#[derive(Clone, Copy, Debug)]
struct Poison {
    role: Role,
    at_token: u64,
}

struct Simulation {
    owner: Owner,
    suspects: Suspects<TokioClock>,
    crash_counts: RefCell<BTreeMap<EndpointId, u32>>,
    crashes_caused: RefCell<BTreeMap<Fingerprint, u32>>,
    sent: Cell<u64>,
}

impl Simulation {
    async fn start() -> Rc<Simulation> {
        let ids: Vec<String> =
            (0..3).map(|n| format!("p{n}")).chain((0..5).map(|n| format!("d{n}"))).collect();
        let engines: Vec<_> = ids.iter().map(|id| (id.as_str(), "a", 16)).collect();
        let owner = Owner::start(&document(&engines, &[]), &Engines::default()).await;
        sleep_ms(3000).await;
        let suspects = Suspects::new(TokioClock::new());
        let (crash_counts, crashes_caused, sent) = Default::default();
        Rc::new(Simulation { owner, suspects, crash_counts, crashes_caused, sent })
    }

    fn crash_counts(&self, id: &EndpointId) -> u32 {
        self.crash_counts.borrow().get(id).copied().unwrap_or(0)
    }

    fn crash(&self, id: &EndpointId, fingerprint: Fingerprint) {
        *self.crash_counts.borrow_mut().entry(id.clone()).or_default() += 1;
        *self.crashes_caused.borrow_mut().entry(fingerprint).or_default() += 1;
        let engine = self.owner.engine(id.as_str());
        engine.is_dead.set(true);
        engine.held.borrow_mut().clear();
        spawn_local(async move {
            sleep_ms(500).await;
            engine.is_dead.set(false);
        });
    }

    /// Returns whether the request completed. If not, it was rejected after too many crashes.
    async fn request(&self, fingerprint: Fingerprint, poison: Option<Poison>) -> bool {
        let mut done = 0;
        while !self.suspects.is_refused(fingerprint) {
            self.sent.set(self.sent.get() + 1);
            let mut request = admission("g", self.sent.get(), "o");
            (request.fingerprint, request.queue_ms) = (fingerprint, 2000);
            request.is_suspect = self.suspects.crashes(fingerprint) > 0;
            request.proof_tokens = self.suspects.proof_tokens(fingerprint, Tokens(done));
            let AdmitAnswer::Plan(plan) = self.owner.admit(request.clone()).await else {
                sleep_ms(100).await;
                continue;
            };
            let held = self.owner.engine(plan.decode.as_str()).held;
            held.borrow_mut().insert(request.attempt.clone(), pieces(&request));
            let ended = self.attempt(&request, &plan, poison, &mut done).await;
            held.borrow_mut().remove(&request.attempt);
            let Err(crashed) = ended else {
                self.owner.finish(&request.attempt, AttemptEnd::Completed, None);
                return true;
            };
            let end = AttemptEnd::EndpointDied;
            let interrupted = self.owner.finish(&request.attempt, end, Some(&crashed));
            self.suspects.record_crash(&interrupted);
            self.suspects.record_output(fingerprint, Tokens(done));
        }
        false
    }

    async fn attempt(
        &self,
        request: &Admission,
        plan: &Plan,
        poison: Option<Poison>,
        done: &mut u64,
    ) -> Result<(), EndpointId> {
        let crash_counts = (self.crash_counts(&plan.prefill), self.crash_counts(&plan.decode));
        let has_crashed = |id: &EndpointId, before| {
            self.crash_counts(id) != before || self.owner.engine(id.as_str()).is_dead.get()
        };
        let crashes_at = |role, at| poison.is_some_and(|p| p.role == role && at >= p.at_token);
        sleep_ms(30).await;
        if has_crashed(&plan.prefill, crash_counts.0) {
            return Err(plan.prefill.clone());
        }
        if crashes_at(Role::Prefill, u64::MAX) {
            self.crash(&plan.prefill, request.fingerprint);
            return Err(plan.prefill.clone());
        }
        let first_index = *done;
        while *done < ANSWER_TOKENS {
            sleep_ms(20).await;
            if has_crashed(&plan.decode, crash_counts.1) {
                return Err(plan.decode.clone());
            }
            if crashes_at(Role::Decode, *done + 1) {
                self.crash(&plan.decode, request.fingerprint);
                return Err(plan.decode.clone());
            }
            *done += 1;
            if [first_index + 1, request.proof_tokens.get(), 25].contains(done) {
                self.owner.report("g", &[(request, plan, *done)]);
            }
        }
        Ok(())
    }
}

async fn run(poisons: Vec<(Poison, u64)>, others: Vec<u64>) -> Result<(), TestCaseError> {
    let simulation = Simulation::start().await;
    let poisoned = poisons.iter().enumerate().map(async |(n, (poison, after_ms))| {
        sleep_ms(*after_ms).await;
        let fingerprint = Fingerprint(1_000_000 + n as u64);
        let mut is_answered = false;
        for _ in 0..REPEATS {
            is_answered |= simulation.request(fingerprint, Some(*poison)).await;
        }
        (fingerprint, is_answered)
    });
    let innocent = others.iter().enumerate().map(async |(n, after_ms)| {
        sleep_ms(*after_ms).await;
        simulation.request(Fingerprint(n as u64), None).await
    });
    let all = futures::future::join(
        futures::future::join_all(poisoned),
        futures::future::join_all(innocent),
    );
    let limit = std::time::Duration::from_secs(120);
    let (poisoned, innocent) = tokio::time::timeout(limit, all).await.unwrap();
    for (fingerprint, is_answered) in poisoned {
        prop_assert!(!is_answered);
        let crash_count = simulation.crashes_caused.borrow()[&fingerprint];
        prop_assert!(crash_count <= 2, "{:?} crashed {} endpoints", fingerprint, crash_count);
    }
    prop_assert!(innocent.iter().all(|is_answered| *is_answered), "{:?}", innocent);
    Ok(())
}

fn poison() -> impl Strategy<Value = (Poison, u64)> {
    let role = prop_oneof![Just(Role::Prefill), Just(Role::Decode)];
    (role, 1u64..8, 0u64..3000)
        .prop_map(|(role, at_token, after_ms)| (Poison { role, at_token }, after_ms))
}

proptest! {
    #![proptest_config(config(200, 23))]

    /// Guards against a poison prompt that crashes a third endpoint, and against rejecting other
    /// requests on the same endpoints, when several poison prompts crash engines in any order.
    #[test]
    fn several_poison_prompts_crash_at_most_two_endpoints_each(
        poisons in prop::collection::vec(poison(), 1..5),
        others in prop::collection::vec(0u64..4000, 0..80),
    ) {
        block_on(run(poisons, others))?;
    }
}
