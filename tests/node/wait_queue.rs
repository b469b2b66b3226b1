use almondroad::admission::Rank;
use almondroad::balance::{WaitQueue, WaitingRequest};
use almondroad::clock::Instant;

use super::support::at;

fn request(due_at: Instant, size_penalty_ms: u64) -> WaitingRequest<'static> {
    WaitingRequest { due_at, size_penalty_ms, ..WaitingRequest::default() }
}

/// Guards against late requests that delay one that can still meet its deadline.
#[test]
fn requests_that_can_meet_their_deadline_go_before_late_ones() {
    let queue = WaitQueue::default();
    let late = queue.enqueue(&request(at(100), 0), at(0));
    let on_time = queue.enqueue(&request(at(900), 0), at(0));
    assert!(late.is_next(at(50)));
    assert!(on_time.is_next(at(200)));
    assert!(!late.is_next(at(200)));
    drop(on_time);
    assert!(late.is_next(at(200)));
}

/// Guards against long outputs that occupy memory in which several short ones would fit.
#[test]
fn a_large_request_waits_behind_a_small_one_with_a_slightly_later_deadline() {
    let queue = WaitQueue::default();
    let large = queue.enqueue(&request(at(500), 600), at(0));
    let small = queue.enqueue(&request(at(700), 30), at(0));
    assert!(small.is_next(at(0)));
    drop(small);
    assert!(large.is_next(at(0)));
}

/// Guards against holding requests that the queue cannot place in time.
#[test]
fn the_expected_wait_follows_the_drain_rate() {
    let queue = WaitQueue::default();
    let _waiting: Vec<_> = (0..10).map(|_| queue.enqueue(&request(at(900), 0), at(0))).collect();
    for ms in 0..20 {
        queue.record_placement(at(ms * 50));
    }
    assert_eq!(queue.expected_wait_ms(Rank::default(), at(1_000)), 500);
    assert_eq!(queue.expected_wait_ms(Rank::default(), at(9_000)), 20_000);
}

/// Guards against rejecting requests immediately although the queue is short: in inc-86e0 of
/// nmha-router two waiting requests were estimated as a wait of 2 s because few requests had
/// arrived before them.
#[test]
fn a_short_queue_after_an_idle_period_has_no_expected_wait() {
    let queue = WaitQueue::default();
    drop(queue.enqueue(&request(at(900), 0), at(0)));
    queue.record_placement(at(0));
    let _waiting: Vec<_> =
        (0..2).map(|_| queue.enqueue(&request(at(5_900), 0), at(5_000))).collect();
    assert_eq!(queue.expected_wait_ms(Rank::default(), at(5_010)), 0);
    queue.record_placement(at(5_200));
    queue.record_placement(at(5_400));
    assert_eq!(queue.expected_wait_ms(Rank::default(), at(5_600)), 600);
}
