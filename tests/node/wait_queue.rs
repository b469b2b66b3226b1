use almondroad::balance::WaitQueue;

use super::support::at;

/// Guards against late requests that take the place of one which can still be on time.
#[test]
fn requests_that_can_be_on_time_go_before_late_ones() {
    let line = WaitQueue::default();
    let late = line.enqueue(at(100), 0, at(0));
    let on_time = line.enqueue(at(900), 0, at(0));
    assert!(late.is_next(at(50)));
    assert!(on_time.is_next(at(200)));
    assert!(!late.is_next(at(200)));
    drop(on_time);
    assert!(late.is_next(at(200)));
}

/// Guards against long outputs that take the memory in which several short ones would fit.
#[test]
fn a_large_request_waits_behind_a_smaller_one_that_is_due_a_little_later() {
    let line = WaitQueue::default();
    let large = line.enqueue(at(500), 600, at(0));
    let small = line.enqueue(at(700), 30, at(0));
    assert!(small.is_next(at(0)));
    drop(small);
    assert!(large.is_next(at(0)));
}

/// Guards against requests that are held although the line cannot reach them in time.
#[test]
fn the_expected_wait_follows_the_pace_of_the_line() {
    let line = WaitQueue::default();
    let _waiting: Vec<_> = (0..10).map(|_| line.enqueue(at(900), 0, at(0))).collect();
    for ms in 0..20 {
        line.record_placement(at(ms * 50));
    }
    assert_eq!(line.expected_wait_ms(at(1_000)), 500);
    assert_eq!(line.expected_wait_ms(at(9_000)), 20_000);
}

/// Guards against requests that are refused at once behind a short line: in inc-86e0 of
/// nmha-router two waiting requests counted as a wait of 2 s because few had come before them.
#[test]
fn a_short_line_after_a_quiet_time_is_no_reason_to_refuse() {
    let line = WaitQueue::default();
    drop(line.enqueue(at(900), 0, at(0)));
    line.record_placement(at(0));
    let _waiting: Vec<_> = (0..2).map(|_| line.enqueue(at(5_900), 0, at(5_000))).collect();
    assert_eq!(line.expected_wait_ms(at(5_010)), 0);
    line.record_placement(at(5_200));
    line.record_placement(at(5_400));
    assert_eq!(line.expected_wait_ms(at(5_600)), 600);
}
