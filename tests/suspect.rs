//! Requests that crash endpoints.

use std::time::Duration;

use almondroad::clock::TokioClock;
use almondroad::suspect::{InterruptedRequest, SuspectRecord, Suspects};
use almondroad::units::{Fingerprint, Tokens};
use proptest::prelude::*;

fn suspects() -> Suspects<TokioClock> {
    Suspects::new(TokioClock::new())
}

fn ran(fingerprint: u64, is_suspect: bool, is_proven_safe: bool) -> InterruptedRequest {
    let output_tokens = Tokens(if is_proven_safe { 20 } else { 2 });
    InterruptedRequest {
        fingerprint: Fingerprint(fingerprint),
        output_tokens,
        is_suspect,
        is_proven_safe,
    }
}

/// Guards against refusing requests that only ran alongside: a death without a suspect makes all
/// of them suspects, and the next death is blamed on the suspect alone if the others had proof.
#[tokio::test(start_paused = true)]
async fn only_the_unproven_suspect_is_blamed_for_the_second_death() {
    let suspects = suspects();
    let [crasher, first, second] = [Fingerprint(1), Fingerprint(2), Fingerprint(3)];
    suspects.record_crash(&[ran(1, false, false), ran(2, false, true)]);
    assert_eq!((suspects.crashes(crasher), suspects.crashes(first)), (1, 1));
    assert!(!suspects.is_refused(crasher));
    suspects.record_crash(&[ran(3, false, true), ran(1, true, false), ran(2, true, true)]);
    assert!(suspects.is_refused(crasher));
    assert_eq!((suspects.crashes(first), suspects.crashes(second)), (1, 0));
}

/// Guards against a neighbour of an earlier crash that is refused for the crash of another prompt,
/// which then goes unnoted.
#[tokio::test(start_paused = true)]
async fn a_death_with_two_unproven_blames_nobody_and_notes_both() {
    let suspects = suspects();
    suspects.record_crash(&[ran(1, false, false), ran(2, false, true)]);
    suspects.record_crash(&[ran(2, true, false), ran(3, false, false), ran(4, false, true)]);
    for fingerprint in 1..=4 {
        assert_eq!(suspects.crashes(Fingerprint(fingerprint)), 1);
    }
}

/// Guards against a crash late in the answer: sent again, the request would count as proven before
/// it crashes, and would cost a third endpoint.
#[tokio::test(start_paused = true)]
async fn a_suspect_has_to_get_past_where_an_endpoint_died() {
    let (a, b) = (suspects(), suspects());
    let crasher = Fingerprint(1);
    assert!(a.proof_tokens(crasher, Tokens(0)) > Tokens(3));
    a.record_crash(&[ran(1, false, true), ran(2, false, true)]);
    b.merge(a.heartbeat_batch(2)[0]);
    a.record_output(crasher, Tokens(50));
    a.heartbeat_batch(2).into_iter().for_each(|copy| b.merge(copy));
    assert!(b.proof_tokens(crasher, Tokens(0)) > Tokens(50));
    assert!(b.proof_tokens(crasher, Tokens(70)) > Tokens(70));
}

/// Guards against counting one death twice when two gateways ran the same prompt on the endpoint.
#[tokio::test(start_paused = true)]
async fn one_death_noted_twice_counts_once() {
    let (a, b) = (suspects(), suspects());
    a.record_crash(&[ran(1, false, false)]);
    b.merge(a.heartbeat_batch(1)[0]);
    b.record_crash(&[ran(1, false, false)]);
    assert_eq!(b.crashes(Fingerprint(1)), 1);
}

/// Guards against a suspicion that never ends because instances keep teaching it to each other.
#[tokio::test(start_paused = true)]
async fn suspicions_expire_although_they_circulate() {
    let (a, b) = (suspects(), suspects());
    a.record_crash(&[ran(1, false, false)]);
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

    /// Guards against copies that arrive late, twice or out of order lowering or inflating a count.
    #[test]
    fn copies_in_any_order_give_the_same_counts(
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
