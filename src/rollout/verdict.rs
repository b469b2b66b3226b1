//! Sequential probability ratio tests of the new version's answers against the old version's. The
//! tests run for each route and for all routes together, on failures and on slow answers.

use std::collections::{BTreeMap, BTreeSet};

use crate::rollout::{AnswerCounts, StepCounts, VersionCounts};

/// Probability with which a good version may be found bad, over all tests of a roll-out, and a bad
/// one good, for each test.
const FALSE_BAD: f64 = 0.002;
const FALSE_GOOD: f64 = 0.05;
/// Smallest additional part of failures for which a version counts as bad.
const BAD_EXCESS: f64 = 0.10;
/// The same on a single route. Larger, because a route gets too few answers to tell 10% from the 3% of
/// both versions that are lost at times: 8 of 50 good versions were then undecided after 40 s.
const ROUTE_BAD_EXCESS: f64 = 0.15;
/// Additional part of slow answers that an answer time of twice the old one causes at least.
const SLOW_EXCESS: f64 = 0.25;
/// Part of the old version's answers above which answers count as slow.
const SLOW_QUANTILE: f64 = 0.10;
/// Lower bound of the old version's failure rate, so that single lost answers are no evidence.
const MIN_FAILURE_RATE: f64 = 0.01;
/// Answers of the old version that a comparison of answer times needs.
const MIN_OLD_ANSWERS: u32 = 20;
/// Part of the new version's answers below which a route needs no evidence of its own.
const MIN_ROUTE_PART: f64 = 0.05;
/// Requests that the answers of a route must number before the version can be found good.
const MIN_ROUTE_ANSWERS: u32 = 20;
/// Answers with which a route needs no more than `MANY_ANSWERS_RATIO` in favour of the version, since
/// chance failures of a good version may keep it from the bound until the deadline.
const MANY_ROUTE_ANSWERS: u32 = 60;
const MANY_ANSWERS_RATIO: f64 = -1.0;
/// Evidence of the last steps against the version above which such a route is not found good.
const RECENT_RATIO: f64 = 3.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Undecided,
    Good,
    Bad,
}

/// A verdict with the counts of the new version that it is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    pub verdict: Verdict,
    pub answers: u32,
    pub bad: u32,
    /// Route of the test that decided or is closest to finding the version bad; 0 for all routes.
    pub route: u32,
    /// Log likelihood ratio of that test, in favour of a bad version.
    pub evidence: f64,
}

/// Log likelihood ratio of `hits` among `total` for rate `bad_rate` against `good_rate`.
fn log_ratio(hits: u32, total: u32, good_rate: f64, bad_rate: f64) -> f64 {
    let misses = f64::from(total.saturating_sub(hits));
    f64::from(hits) * (bad_rate / good_rate).ln()
        + misses * ((1.0 - bad_rate) / (1.0 - good_rate)).ln()
}

/// Failures: the old version's rate is smoothed towards the lower bound while it has few answers.
fn failure_ratio(old: &AnswerCounts, new: &AnswerCounts, excess: f64) -> f64 {
    let prior = 50.0;
    let rate = (f64::from(old.bad) + prior * MIN_FAILURE_RATE) / (f64::from(old.total()) + prior);
    let good_rate = rate.clamp(MIN_FAILURE_RATE, 0.8);
    let bad_rate = good_rate + excess * (1.0 - good_rate);
    log_ratio(new.bad, new.total(), good_rate, bad_rate)
}

/// Slow answers; `None` while the old version has too few answers to tell which ones are slow.
fn slowness_ratio(old: &AnswerCounts, new: &AnswerCounts) -> Option<f64> {
    let old_total: u32 = old.latency.iter().sum();
    if old_total < MIN_OLD_ANSWERS {
        return None;
    }
    let above = |counts: &AnswerCounts, bucket: usize| -> u32 {
        counts.latency[(bucket + 1).min(counts.latency.len())..].iter().sum()
    };
    let is_rare =
        |bucket: &usize| f64::from(above(old, *bucket)) <= SLOW_QUANTILE * f64::from(old_total);
    let bucket = (0..old.latency.len()).find(is_rare)?;
    let rate = (f64::from(above(old, bucket)) + 1.0) / (f64::from(old_total) + 2.0);
    let good_rate = rate.max(0.03);
    let bad_rate = good_rate + SLOW_EXCESS;
    let new_total = new.latency.iter().sum();
    Some(log_ratio(above(new, bucket), new_total, good_rate, bad_rate))
}

/// Evidence of one test over the steps. That in favour of the version is limited after each step,
/// so that answers which become bad later are not outweighed by earlier ones.
#[derive(Default)]
struct Evidence {
    sum: f64,
    /// The bound for a good version was reached once.
    has_passed: bool,
    /// Sum without the limit.
    total: f64,
}

impl Evidence {
    fn add(&mut self, ratio: f64) {
        let bound = FALSE_GOOD.ln();
        self.total += ratio;
        self.has_passed |= self.sum + ratio <= bound;
        self.sum = (self.sum + ratio).max(bound);
    }

    /// Whether the evidence is for the version. A single failure after the bound was reached, which
    /// good versions have too, does not count against it.
    fn is_good(&self, answers: u32) -> bool {
        let has_many = answers >= MANY_ROUTE_ANSWERS
            && self.total <= MANY_ANSWERS_RATIO
            && self.sum <= RECENT_RATIO;
        has_many || (self.has_passed && self.sum <= 0.0)
    }
}

/// Judges the new version. `new_endpoints` is the number of its endpoints: failures of a single one
/// of several are no evidence against the version.
pub fn judge(counts: &StepCounts, new_endpoints: usize) -> Judgement {
    let routes: BTreeSet<u32> = counts.keys().map(|(_, route)| *route).collect();
    let mut totals: BTreeMap<u32, VersionCounts> = BTreeMap::new();
    for ((_, route), pair) in counts {
        totals.entry(*route).or_default().add(pair);
    }
    let mut all = VersionCounts::default();
    totals.values().for_each(|pair| all.add(pair));
    let answers = all.new.total();
    let tests = 2 * routes.len() + 1;
    let bad_bound = (tests as f64 / FALSE_BAD).ln();

    let mut worst = (0, f64::NEG_INFINITY);
    let mut is_good = answers > 0;
    let mut consider = |route: u32, evidence: f64| {
        if evidence > worst.1 {
            worst = (route, evidence);
        }
    };
    let old_in_step = |pair: &VersionCounts, total: &VersionCounts| {
        let has_enough = pair.old.total() >= MIN_OLD_ANSWERS;
        if has_enough { pair.old.clone() } else { total.old.clone() }
    };
    let has_several_bad = |bad: u32| new_endpoints < 2 || bad.count_ones() >= 2;
    for route in &routes {
        let total = &totals[route];
        let (mut failures, mut slowness) = (Evidence::default(), Evidence::default());
        for ((_, of), pair) in counts {
            if of != route {
                continue;
            }
            failures.add(failure_ratio(&old_in_step(pair, total), &pair.new, ROUTE_BAD_EXCESS));
            if let Some(ratio) = slowness_ratio(&pair.old, &pair.new) {
                slowness.add(ratio);
            }
        }
        if has_several_bad(total.new.bad_endpoints) {
            consider(*route, failures.sum);
        }
        consider(*route, slowness.sum);
        let is_relevant = f64::from(total.new.total()) >= MIN_ROUTE_PART * f64::from(answers)
            && total.old.total() + total.new.total() > 0;
        let is_route_good = total.new.total() >= MIN_ROUTE_ANSWERS
            && failures.is_good(total.new.total())
            && slowness.sum <= 0.0;
        is_good &= is_route_good || !is_relevant;
    }
    let mut pooled = Evidence::default();
    let steps: BTreeSet<u32> = counts.keys().map(|(step, _)| *step).collect();
    for step in steps {
        let mut pair = VersionCounts::default();
        counts.range((step, 0)..=(step, u32::MAX)).for_each(|(_, counts)| pair.add(counts));
        pooled.add(failure_ratio(&old_in_step(&pair, &all), &pair.new, BAD_EXCESS));
    }
    if has_several_bad(all.new.bad_endpoints) {
        consider(0, pooled.sum);
    }
    is_good &= pooled.is_good(answers);
    let verdict = match worst.1 >= bad_bound {
        true => Verdict::Bad,
        false if is_good => Verdict::Good,
        false => Verdict::Undecided,
    };
    let (route, evidence) = worst;
    Judgement { verdict, answers, bad: all.new.bad, route, evidence: evidence.max(-99.0) }
}
