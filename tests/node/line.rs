use almondroad::balance::WaitingLine;

use super::support::at;

/// Guards against late requests that take the place of one which can still be on time.
#[test]
fn requests_that_can_be_on_time_go_before_late_ones() {
    let line = WaitingLine::default();
    let late = line.join(at(100), 0);
    let on_time = line.join(at(900), 0);
    assert!(late.is_next(at(50)));
    assert!(on_time.is_next(at(200)));
    assert!(!late.is_next(at(200)));
    drop(on_time);
    assert!(late.is_next(at(200)));
}

/// Guards against long outputs that take the memory in which several short ones would fit.
#[test]
fn a_large_request_waits_behind_a_smaller_one_that_is_due_a_little_later() {
    let line = WaitingLine::default();
    let large = line.join(at(500), 600);
    let small = line.join(at(700), 30);
    assert!(small.is_next(at(0)));
    drop(small);
    assert!(large.is_next(at(0)));
}

/// Guards against requests that are held although the line cannot reach them in time.
#[test]
fn the_expected_wait_follows_the_pace_of_the_line() {
    let line = WaitingLine::default();
    let _waiting: Vec<_> = (0..10).map(|_| line.join(at(900), 0)).collect();
    for ms in 0..20 {
        line.note_placed(at(ms * 50));
    }
    assert_eq!(line.expected_wait_ms(at(1_000)), 1_000);
    assert_eq!(line.expected_wait_ms(at(9_000)), 10_000);
}
