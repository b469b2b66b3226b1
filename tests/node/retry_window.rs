use almondroad::balance::{RetryLimits, RetryWindow};

use super::support::at;

const LIMITS: RetryLimits = RetryLimits { window_ms: 10_000, share: 0.2, extra: 56.0 };

/// Guards against retry storms: all instances together must stay below the limit of the service in
/// every window.
#[test]
fn instances_together_stay_below_the_limit() {
    const INSTANCES: usize = 8;
    let mut windows: Vec<RetryWindow> = vec![RetryWindow::default(); INSTANCES];
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for ms in 0..10_000 {
        let window = &mut windows[ms as usize % INSTANCES];
        window.record_request(at(ms), &LIMITS);
        requests += 1;
        retries += u32::from(window.try_acquire(at(ms), &LIMITS, INSTANCES));
    }
    let limit = 0.2 * f64::from(requests) + 56.0;
    assert!(f64::from(retries) <= limit, "{retries} retries, limit {limit}");
    assert!(retries > 0);
}

/// Guards against retries that count against the limit forever.
#[test]
fn old_retries_expire() {
    let mut window = RetryWindow::default();
    while window.try_acquire(at(0), &LIMITS, 8) {}
    assert!(!window.try_acquire(at(9_000), &LIMITS, 8));
    assert!(window.try_acquire(at(10_001), &LIMITS, 8));
}
