//! Tests of `Suspects`, the record of requests that were running when an endpoint crashed.

use std::time::Duration;

use almondroad::clock::TokioClock;
use almondroad::suspect::{InterruptedRequest, SuspectRecord, Suspects};
use almondroad::units::{Fingerprint, Tokens};
use proptest::prelude::*;

fn suspects() -> Suspects<TokioClock> {
    Suspects::new(TokioClock::new())
}

fn interrupted(fingerprint: u64, is_suspect: bool, is_proven_safe: bool) -> InterruptedRequest {
    let output_tokens = Tokens(if is_proven_safe { 20 } else { 2 });
    InterruptedRequest {
        fingerprint: Fingerprint(fingerprint),
        output_tokens,
        is_suspect,
        is_proven_safe,
    }
}

/// Guards against rejecting requests that only ran on the same endpoint. After a crash without a
/// suspect all become suspects. The next crash counts only for the suspect if the others were
/// proven safe.
#[tokio::test(start_paused = true)]
async fn second_crash_counts_only_for_the_unproven_suspect() {
    let suspects = suspects();
    let [poison, first, second] = [Fingerprint(1), Fingerprint(2), Fingerprint(3)];
    suspects.record_crash(&[interrupted(1, false, false), interrupted(2, false, true)]);
    assert_eq!((suspects.crashes(poison), suspects.crashes(first)), (1, 1));
    assert!(!suspects.is_refused(poison));
    suspects.record_crash(&[
        interrupted(3, false, true),
        interrupted(1, true, false),
        interrupted(2, true, true),
    ]);
    assert!(suspects.is_refused(poison));
    assert_eq!((suspects.crashes(first), suspects.crashes(second)), (1, 0));
}

/// Guards against rejecting a suspect of an earlier crash for a crash that another prompt caused,
/// and against not recording that prompt.
#[tokio::test(start_paused = true)]
async fn a_crash_with_two_unproven_requests_makes_both_suspects() {
    let suspects = suspects();
    suspects.record_crash(&[interrupted(1, false, false), interrupted(2, false, true)]);
    suspects.record_crash(&[
        interrupted(2, true, false),
        interrupted(3, false, false),
        interrupted(4, false, true),
    ]);
    for fingerprint in 1..=4 {
        assert_eq!(suspects.crashes(Fingerprint(fingerprint)), 1);
    }
}

/// Guards against a prompt that crashes late in its output. If it were sent again, it would count
/// as proven safe before it crashes, and would crash a third endpoint.
#[tokio::test(start_paused = true)]
async fn proof_tokens_exceed_the_output_at_the_last_crash() {
    let (a, b) = (suspects(), suspects());
    let poison = Fingerprint(1);
    assert!(a.proof_tokens(poison, Tokens(0)) > Tokens(3));
    a.record_crash(&[interrupted(1, false, true), interrupted(2, false, true)]);
    b.merge(a.heartbeat_batch(2)[0]);
    a.record_output(poison, Tokens(50));
    a.heartbeat_batch(2).into_iter().for_each(|copy| b.merge(copy));
    assert!(b.proof_tokens(poison, Tokens(0)) > Tokens(50));
    assert!(b.proof_tokens(poison, Tokens(70)) > Tokens(70));
}

/// Guards against counting a crash twice when two gateways ran the same prompt on the endpoint.
#[tokio::test(start_paused = true)]
async fn one_crash_recorded_twice_counts_once() {
    let (a, b) = (suspects(), suspects());
    a.record_crash(&[interrupted(1, false, false)]);
    b.merge(a.heartbeat_batch(1)[0]);
    b.record_crash(&[interrupted(1, false, false)]);
    assert_eq!(b.crashes(Fingerprint(1)), 1);
}

/// Guards against records that never expire because instances keep sending them to each other.
#[tokio::test(start_paused = true)]
async fn records_expire_although_instances_exchange_them() {
    let (a, b) = (suspects(), suspects());
    a.record_crash(&[interrupted(1, false, false)]);
    for _ in 0..600 {
        for (from, to) in [(&a, &b), (&b, &a)] {
            let copies = from.heartbeat_batch(32);
            tokio::time::advance(Duration::from_millis(500)).await;
            copies.into_iter().for_each(|copy| to.merge(copy));
        }
    }
    tokio::time::advance(Duration::from_millis(1000)).await;
    assert_eq!((a.crashes(Fingerprint(1)), b.crashes(Fingerprint(1))), (0, 0));
    assert_eq!((a.heartbeat_batch(1), b.heartbeat_batch(1)), (vec![], vec![]));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]

    /// Guards against counts that depend on the order, delay or duplication of received records.
    #[test]
    fn merging_records_in_any_order_gives_the_same_counts(
        copies in prop::collection::vec((0u64..4, 1u32..4, 1u64..900_000), 1..20),
        rotation in 0usize..20,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time().start_paused(true).build().unwrap();
        let _guard = runtime.enter();
        let (a, b) = (suspects(), suspects());
        let copy = |&(f, crashes, remaining_ms): &(u64, u32, u64)| SuspectRecord {
            fingerprint: Fingerprint(f), crashes, output_tokens: Tokens(f), remaining_ms,
        };
        copies.iter().map(copy).for_each(|s| a.merge(s));
        let mut rotated = copies.clone();
        rotated.rotate_left(rotation % copies.len());
        rotated.iter().chain(&rotated).map(copy).for_each(|s| b.merge(s));
        for f in 0..4 {
            let most = copies.iter().filter(|c| c.0 == f).map(|c| c.1).max().unwrap_or(0);
            prop_assert_eq!(a.crashes(Fingerprint(f)), most);
            prop_assert_eq!(b.crashes(Fingerprint(f)), most);
        }
        prop_assert!(a.heartbeat_batch(9).iter().all(|s| s.remaining_ms <= 600_000));
    }
}
