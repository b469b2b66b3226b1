//! The sequential test of a new version's answers.

use almondroad::rollout::{AnswerCounts, AnswerKind, StepCounts, Verdict, VersionCounts, judge};
use proptest::prelude::*;

fn answers(good: u32, bad: u32) -> AnswerCounts {
    let mut counts = AnswerCounts::default();
    for _ in 0..good {
        counts.record(AnswerKind::Good { latency_ms: Some(100) }, 0);
    }
    for endpoint in 0..bad {
        counts.record(AnswerKind::Bad, endpoint);
    }
    counts
}

/// Guards against a verdict without any answer of the new version.
#[test]
fn no_answers_give_no_verdict() {
    let pair = VersionCounts { old: answers(500, 2), new: AnswerCounts::default() };
    let judgement = judge(&StepCounts::from([((1, 2), pair)]), 3);
    assert_eq!(judgement.verdict, Verdict::Undecided);
}

/// Guards against a version that is found bad because of one faulty machine of several.
#[test]
fn failures_of_one_endpoint_are_no_verdict() {
    let mut new = answers(100, 0);
    for _ in 0..40 {
        new.record(AnswerKind::Bad, 7);
    }
    let pair = VersionCounts { old: answers(500, 2), new: new.clone() };
    let counts = StepCounts::from([((1, 2), pair)]);
    assert_ne!(judge(&counts, 3).verdict, Verdict::Bad);
    assert_eq!(judge(&counts, 1).verdict, Verdict::Bad);
}

/// Guards against a route whose answers are too few to be judged and that passes with the others.
#[test]
fn each_route_needs_evidence() {
    let seen = VersionCounts { old: answers(500, 1), new: answers(100, 0) };
    let unseen = VersionCounts { old: answers(500, 1), new: answers(10, 0) };
    let one = StepCounts::from([((1, 2), seen.clone())]);
    assert_eq!(judge(&one, 3).verdict, Verdict::Good);
    let both = StepCounts::from([((1, 2), seen), ((1, 4), unseen)]);
    assert_eq!(judge(&both, 3).verdict, Verdict::Undecided);
}

/// Guards against early good answers that outweigh failures which begin later.
#[test]
fn early_answers_do_not_hide_late_failures() {
    let early = VersionCounts { old: answers(5_000, 10), new: answers(2_000, 2) };
    let late = VersionCounts { old: answers(500, 1), new: answers(25, 10) };
    let counts = StepCounts::from([((1, 2), early), ((2, 2), late)]);
    assert_eq!(judge(&counts, 3).verdict, Verdict::Bad);
}

proptest! {
    /// Guards against a general overload or fault that counts against the new version: both
    /// versions fail in the same part.
    #[test]
    fn equal_failures_are_no_verdict(bad in 0_u32..30, scale in 1_u32..6) {
        let old = answers((100 - bad) * scale * 4, bad * scale * 4);
        let pair = VersionCounts { old, new: answers((100 - bad) * scale, bad * scale) };
        prop_assert_ne!(judge(&StepCounts::from([((1, 2), pair)]), 5).verdict, Verdict::Bad);
    }
}
