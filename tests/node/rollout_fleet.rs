//! Whole roll-outs over many instances that exchange reports, some of them late or lost.

use std::net::{IpAddr, Ipv4Addr};

use almondroad::rollout::{
    AnswerKind, PlanInput, RolloutOrder, RolloutPhase, RolloutSettings, RolloutState, Rollouts,
    next_state, slack_part,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

use super::support::{at, service};

const SETTINGS: RolloutSettings =
    RolloutSettings { exposure_share: 0.1, exposure_slack: 50.0, rollback_ms: 5_000 };
const DEADLINE_MS: u64 = 40_000;
const REQUESTS_PER_S: u64 = 300;
const ROUTES: u32 = 5;
const TICK_MS: u64 = 250;

/// How the endpoints answer.
#[derive(Clone, Copy, Debug, Default)]
struct Scenario {
    instances: usize,
    /// Failures of the new version, its slowness, the time from which on it is bad, and the only
    /// route that is bad.
    failures: f64,
    slowness: f64,
    bad_from_ms: u64,
    bad_route: Option<u32>,
    /// Failures of both versions, as by lost or garbled answers.
    common_failures: f64,
    /// Both versions are three times slower for a while.
    has_burst: bool,
    /// Part of the reports that are lost.
    lost_reports: f64,
    /// Instances that start again halfway and know nothing.
    restarts: usize,
}

impl Scenario {
    fn answer(&self, is_new: bool, route: u32, ms: u64, rng: &mut StdRng) -> AnswerKind {
        let is_bad_route = self.bad_route.is_none_or(|bad| bad == route);
        let is_bad = is_new && is_bad_route && ms >= self.bad_from_ms;
        let failures = 0.005 + self.common_failures + if is_bad { self.failures } else { 0.0 };
        if rng.random_bool(failures) {
            return AnswerKind::Bad;
        }
        // The sum of uniform numbers is close to a normal one; its deviation here is 0.4.
        let normal: f64 = (0..12).map(|_| rng.random_range(-0.5..0.5)).sum();
        let mut latency_ms = 60.0 * (1.0 + f64::from(route)) * (0.4 * normal).exp();
        if self.has_burst && (8_000..16_000).contains(&ms) {
            latency_ms *= 3.0;
        }
        if is_bad && self.slowness > 1.0 {
            latency_ms *= self.slowness;
        }
        AnswerKind::Good { latency_ms: Some(latency_ms as u64) }
    }
}

#[derive(Debug)]
struct Outcome {
    phase: RolloutPhase,
    requests: u64,
    new_requests: u64,
    /// Requests to the new version more than the bound of a roll-back after its 50th bad answer.
    late_requests: u64,
}

fn address(instance: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0001 + instance as u32))
}

fn start(instance: usize, instances: usize, has_slack: bool) -> Rollouts {
    let mut rollouts = Rollouts::new(Some(SETTINGS));
    let order = RolloutOrder { service: service(), target: "v2".into(), deadline_ms: DEADLINE_MS };
    let slack = slack_part(SETTINGS.exposure_slack, instance, instances);
    rollouts.apply_order(order, 7, if has_slack { slack } else { 0 });
    rollouts
}

/// Plays a roll-out whose first instance decides, and returns what the new version got until the
/// deadline.
fn play(scenario: &Scenario, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = scenario.instances;
    let mut fleet: Vec<Rollouts> = (0..count).map(|one| start(one, count, true)).collect();
    let mut runs = vec![1_u64; count];
    let mut state = RolloutState::first(7, "v2".into(), 0, DEADLINE_MS - 2_000);
    let (old, new): (SmolStr, SmolStr) = ("v1".into(), "v2".into());
    let (mut requests, mut new_requests, mut late_requests, mut bad) = (0, 0, 0, 0);
    let mut rollback_by_ms = u64::MAX;
    for ms in (0..DEADLINE_MS).step_by(TICK_MS as usize) {
        let now = at(ms);
        for _ in 0..REQUESTS_PER_S * TICK_MS / 1_000 {
            let instance = rng.random_range(0..count);
            let route = rng.random_range(0..ROUTES);
            requests += 1;
            let rollouts = &mut fleet[instance];
            rollouts.record_request(&service(), now);
            let choice = rollouts.choose(&service(), true, 1, now);
            let is_new = choice.filter.allows(&new);
            let kind = scenario.answer(is_new, route, ms, &mut rng);
            let version = if is_new { &new } else { &old };
            rollouts.record_answer(&service(), version, route + 2, kind, rng.random());
            if is_new {
                new_requests += 1;
                late_requests += u64::from(ms > rollback_by_ms);
                bad += u64::from(kind == AnswerKind::Bad);
                if bad == 50 {
                    rollback_by_ms = rollback_by_ms.min(ms + SETTINGS.rollback_ms);
                }
            }
        }
        if ms == DEADLINE_MS / 2 / TICK_MS * TICK_MS {
            for instance in 1..=scenario.restarts {
                fleet[instance] = start(instance, count, false);
                runs[instance] += 1;
            }
        }
        // The first instance decides, and reports to all others once a second.
        let holder = fleet[0].rollout_mut(&service()).unwrap();
        let judgement = holder.judge(10);
        let is_moved = holder.is_moved_everywhere(0, (1..count).map(address), now);
        let input = PlanInput { store_ms: ms, verdict: judgement.verdict, is_moved };
        if let Some(next) = next_state(&state, &input) {
            state = next;
        }
        fleet[0].apply_state(&service(), &state, now);
        fleet[0].rollout_mut(&service()).unwrap().confirm(now);
        for from in 0..count {
            if !(ms / TICK_MS + from as u64).is_multiple_of(4) {
                continue;
            }
            let reports = fleet[from].reports(|_, _| 0, now);
            // Only the reports of and to the instance that decides change what happens here.
            let receivers = if from == 0 { 1..count } else { 0..1 };
            for to in receivers {
                if !rng.random_bool(scenario.lost_reports) {
                    fleet[to].apply_reports((address(from), runs[from]), &reports, now);
                }
            }
        }
    }
    Outcome { phase: state.phase, requests, new_requests, late_requests }
}

fn assert_caught(scenario: &Scenario, seeds: u64) {
    for seed in 0..seeds {
        let outcome = play(scenario, seed);
        let shown = format!("seed {seed}, {scenario:?}: {outcome:?}");
        assert_eq!(outcome.phase, RolloutPhase::RolledBack, "{shown}");
        let allowed = SETTINGS.exposure_share * outcome.requests as f64 + SETTINGS.exposure_slack;
        assert!(outcome.new_requests as f64 <= allowed, "{shown}");
        assert_eq!(outcome.late_requests, 0, "{shown}");
    }
}

fn assert_succeeds(scenario: &Scenario, seeds: u64) {
    for seed in 0..seeds {
        let outcome = play(scenario, seed);
        assert_eq!(outcome.phase, RolloutPhase::Succeeded, "seed {seed}, {scenario:?}");
    }
}

fn fleet_of(instances: usize) -> Scenario {
    Scenario { instances, slowness: 1.0, ..Scenario::default() }
}

/// Guards against a version with failures that is not caught within the exposure.
#[test]
fn failing_versions_are_caught() {
    for failures in [0.1, 0.2, 0.5] {
        assert_caught(&Scenario { failures, ..fleet_of(8) }, 50);
    }
}

/// Guards against a slow version that is not caught within the exposure.
#[test]
fn slow_versions_are_caught() {
    for slowness in [2.0, 4.0, 6.0] {
        assert_caught(&Scenario { slowness, ..fleet_of(8) }, 50);
    }
}

/// Guards against a version that is bad on one route only and passes by the others.
#[test]
fn versions_bad_on_one_route_are_caught() {
    let bad_route = Some(3);
    assert_caught(&Scenario { failures: 0.3, bad_route, ..fleet_of(8) }, 50);
    assert_caught(&Scenario { slowness: 4.0, bad_route, ..fleet_of(8) }, 50);
}

/// Guards against a version that becomes bad late in the observation and passes by its first
/// answers.
#[test]
fn versions_that_become_bad_later_are_caught() {
    assert_caught(&Scenario { failures: 0.3, bad_from_ms: 15_000, ..fleet_of(8) }, 50);
    assert_caught(&Scenario { slowness: 4.0, bad_from_ms: 15_000, ..fleet_of(8) }, 50);
}

/// Guards against a good version that is sent back, by itself or by a burst.
#[test]
fn good_versions_succeed() {
    assert_succeeds(&fleet_of(8), 50);
    assert_succeeds(&Scenario { has_burst: true, ..fleet_of(8) }, 50);
}

/// Guards against a good version that lost or garbled answers of both versions send back.
#[test]
fn good_versions_succeed_while_answers_are_lost() {
    assert_succeeds(&Scenario { common_failures: 0.03, ..fleet_of(8) }, 50);
}

/// Guards against parts of the allowance that add up to too much with any number of instances, lost
/// reports and instances that start again.
#[test]
fn the_exposure_holds_in_fleets_of_any_size() {
    for (instances, restarts) in [(1, 0), (8, 3), (87, 30)] {
        for lost_reports in [0.0, 0.3] {
            let slow = Scenario { slowness: 6.0, restarts, lost_reports, ..fleet_of(instances) };
            assert_caught(&slow, 3);
            let failing = Scenario { failures: 0.3, restarts, lost_reports, ..fleet_of(instances) };
            assert_caught(&failing, 3);
        }
    }
}
