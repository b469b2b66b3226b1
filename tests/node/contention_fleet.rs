//! Bursts of the least urgent callers at fleets of several sizes, whose instances learn of each
//! other's demand late or not at all.

use std::collections::VecDeque;

use almondroad::admission::{DemandBoard, FillQuery, Rank, ServiceReport, fill_limit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::support::{at, service};

const ENGINES: usize = 40;
const ENGINE_TOKENS: u64 = 28_000;
const MAX_FILL: f64 = 1.1;
const STEP_MS: u64 = 50;
const REPORT_AGE_MS: u64 = 300;
const RUN_MS: u64 = 3_500;
const BURST_FROM_MS: u64 = 6_000;
const BURST_UNTIL_MS: u64 = 7_500;
/// Requests per step of the ranks 0 to 2 outside of the burst, and of rank 2 within it.
const USUAL_PER_STEP: [f64; 3] = [0.4, 1.0, 0.6];
const BURST_PER_STEP: f64 = 15.0;

#[derive(Clone, Copy)]
struct Scenario {
    instances: usize,
    has_limits: bool,
    loses_reports: bool,
    loses_half_of_engines: bool,
    usual_factor: f64,
}

const USUAL: Scenario = Scenario {
    instances: 1,
    has_limits: true,
    loses_reports: false,
    loses_half_of_engines: false,
    usual_factor: 1.0,
};

struct Fleet {
    boards: Vec<DemandBoard>,
    /// Reports on their way, oldest first.
    in_transit: VecDeque<(u64, Vec<Vec<ServiceReport>>)>,
    used_tokens: Vec<u64>,
    runs: VecDeque<(u64, usize, u64)>,
}

impl Fleet {
    fn exchange_reports(&mut self, scenario: &Scenario, now_ms: u64) {
        let sent = self.boards.iter().map(|board| board.reports(at(now_ms), |_, _| 0)).collect();
        self.in_transit.push_back((now_ms, sent));
        let is_lost = scenario.loses_reports && (5_000..10_000).contains(&now_ms);
        while self.in_transit.front().is_some_and(|(at, _)| now_ms - at >= REPORT_AGE_MS) {
            let (_, reports) = self.in_transit.pop_front().unwrap();
            if is_lost {
                continue;
            }
            for (from, report) in reports.iter().enumerate() {
                let peer = [127, 0, 2, from as u8].into();
                for (to, board) in self.boards.iter_mut().enumerate() {
                    if to != from {
                        board.set_peer_report(peer, report.clone(), at(now_ms));
                    }
                }
            }
        }
    }

    /// Places a request at the emptiest engine; false if it exceeds the limit there.
    fn place(
        &mut self,
        scenario: &Scenario,
        instance: usize,
        rank: Rank,
        tokens: u64,
        now_ms: u64,
    ) -> bool {
        let now = at(now_ms);
        self.boards[instance].record_offered(&service(), rank, tokens, now);
        let demand = self.boards[instance].service_demand(&service(), now);
        let pool_tokens = self.used_tokens.len() as u64 * ENGINE_TOKENS;
        let query = FillQuery { rank, is_late: false, max_fill: MAX_FILL, pool_tokens };
        let limit = if scenario.has_limits { fill_limit(&query, &demand) } else { MAX_FILL };
        let (engine, used) =
            self.used_tokens.iter_mut().enumerate().min_by_key(|(_, used)| **used).unwrap();
        if (*used + tokens) as f64 > limit * ENGINE_TOKENS as f64 {
            return false;
        }
        *used += tokens;
        self.runs.push_back((now_ms + RUN_MS, engine, tokens));
        true
    }

    fn end_runs(&mut self, now_ms: u64) {
        while self.runs.front().is_some_and(|(ends_ms, ..)| *ends_ms <= now_ms) {
            let (_, engine, tokens) = self.runs.pop_front().unwrap();
            if let Some(used) = self.used_tokens.get_mut(engine) {
                *used -= tokens;
            }
        }
    }
}

/// Returns the fraction of the most urgent requests that are placed at once, from the burst until
/// its generations have ended.
fn urgent_placed(scenario: Scenario, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet {
        boards: vec![DemandBoard::default(); scenario.instances],
        in_transit: VecDeque::new(),
        used_tokens: vec![0; ENGINES],
        runs: VecDeque::new(),
    };
    let (mut placed, mut offered) = (0, 0);
    for now_ms in (0..BURST_UNTIL_MS + RUN_MS).step_by(STEP_MS as usize) {
        fleet.end_runs(now_ms);
        if now_ms == BURST_FROM_MS && scenario.loses_half_of_engines {
            fleet.used_tokens.truncate(ENGINES / 2);
        }
        fleet.exchange_reports(&scenario, now_ms);
        let is_burst = (BURST_FROM_MS..BURST_UNTIL_MS).contains(&now_ms);
        // The least urgent arrive first in each step.
        for priority in [2, 1, 0] {
            let usual = USUAL_PER_STEP[usize::from(priority)] * scenario.usual_factor;
            let mean = if is_burst && priority == 2 { BURST_PER_STEP } else { usual };
            let count = mean as u64 + u64::from(rng.random_bool(mean.fract()));
            for _ in 0..count {
                let (instance, tokens) =
                    (rng.random_range(0..scenario.instances), rng.random_range(2_000..5_000));
                let rank = Rank::new(priority, None);
                let is_placed = fleet.place(&scenario, instance, rank, tokens, now_ms);
                if priority == 0 && now_ms >= BURST_FROM_MS {
                    offered += 1;
                    placed += u32::from(is_placed);
                }
            }
        }
    }
    f64::from(placed) / f64::from(offered.max(1))
}

/// The rule of the users: a class is not served less often, by more than 5 in 100, than a less
/// urgent one, so that a burst of those may cost the urgent at most that.
const MIN_PLACED: f64 = 0.95;

fn assert_urgent_are_placed(scenario: Scenario) {
    for instances in [1, 8, 70] {
        for seed in 0..5 {
            let placed = urgent_placed(Scenario { instances, ..scenario }, seed);
            assert!(placed >= MIN_PLACED, "{instances} instances, seed {seed}: {placed:.3}");
        }
    }
}

/// Shows that the burst of these tests leaves no room for the urgent unless it is limited.
#[test]
fn without_limits_the_burst_takes_the_room_of_the_urgent() {
    let placed = urgent_placed(Scenario { has_limits: false, instances: 8, ..USUAL }, 0);
    assert!(placed < MIN_PLACED, "{placed:.3}");
}

/// Guards against a burst of the least urgent, just before the urgent, that takes all room.
#[test]
fn urgent_requests_find_room_after_a_burst_of_the_least_urgent() {
    assert_urgent_are_placed(USUAL);
}

/// Guards against a burst that takes all room while reports of peers are lost for 5 s.
#[test]
fn urgent_requests_find_room_while_reports_are_lost() {
    assert_urgent_are_placed(Scenario { loses_reports: true, ..USUAL });
}

/// Guards against room for the urgent that is measured by engines which are gone.
#[test]
fn urgent_requests_find_room_after_half_of_the_engines_are_gone() {
    assert_urgent_are_placed(Scenario { loses_half_of_engines: true, ..USUAL });
}

/// Guards against demand of all classes that grows together.
#[test]
fn urgent_requests_find_room_while_all_classes_send_twice_as_much() {
    assert_urgent_are_placed(Scenario { usual_factor: 2.0, ..USUAL });
}
