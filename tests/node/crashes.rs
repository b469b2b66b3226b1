use almondroad::balance::IncarnationKey;
use almondroad::forward::{CallerRequest, CrashCounts};
use almondroad::units::Fingerprint;
use bytes::Bytes;
use hyper::{HeaderMap, Method};

use super::support::at;

fn request(attempt: &str, body: &'static str) -> CallerRequest {
    CallerRequest {
        attempt: attempt.into(),
        method: Method::POST,
        target: "/reports/1".into(),
        host: "reports.example".into(),
        key: Some("key".into()),
        wait_ms: None,
        headers: HeaderMap::new(),
        body: Bytes::from_static(body.as_bytes()),
        generation: None,
    }
}

fn process(endpoint_key: u32) -> IncarnationKey {
    IncarnationKey { endpoint_key, started_unix_ms: 1 }
}

fn is_refused(crashes: &CrashCounts, fingerprint: Fingerprint, at_ms: u64) -> bool {
    crashes.refused_until(fingerprint, at(at_ms)).is_some()
}

/// Guards against a request that crashes one endpoint after another: its caller repeats it with new
/// ids at any instance.
#[test]
fn a_request_that_crashed_three_endpoints_is_rejected_by_every_instance() {
    let mut crashes = CrashCounts::default();
    for n in 0..3_u64 {
        let again = CrashCounts::fingerprint(&request(&format!("attempt-{n}"), "poison"));
        assert!(!is_refused(&crashes, again, n));
        crashes.record_crash(again, process(n as u32), at(n));
    }
    let mut peer = CrashCounts::default();
    peer.merge(&crashes.reports(at(10)), at(10));
    let again = CrashCounts::fingerprint(&request("attempt-9", "poison"));
    assert!(is_refused(&crashes, again, 10) && is_refused(&peer, again, 10));
    let harmless = CrashCounts::fingerprint(&request("attempt-9", "harmless"));
    assert!(!is_refused(&peer, harmless, 10));
}

/// Guards against a request that goes on crashing endpoints because its caller repeats it at several
/// instances, each of which has seen one crash.
#[test]
fn crashes_that_several_instances_have_seen_are_added_up() {
    let poison = CrashCounts::fingerprint(&request("attempt-1", "poison"));
    let mut fleet: Vec<CrashCounts> = (0..4).map(|_| CrashCounts::default()).collect();
    for (n, seen_by) in fleet[..3].iter_mut().enumerate() {
        seen_by.record_crash(poison, process(n as u32), at(0));
    }
    let reports: Vec<_> = fleet.iter().map(|crashes| crashes.reports(at(50))).collect();
    for crashes in &mut fleet {
        reports.iter().for_each(|report| crashes.merge(report, at(60)));
        assert!(is_refused(crashes, poison, 60));
    }
}

/// Guards against a request that is refused too late while a fleet is upgraded: instances of the
/// version before exchange numbers.
#[test]
fn counts_of_an_earlier_version_are_lower_bounds() {
    let poison = CrashCounts::fingerprint(&request("attempt-1", "poison"));
    let mut of_earlier_version = CrashCounts::default();
    (0..3).for_each(|n| of_earlier_version.record_crash(poison, process(n), at(0)));
    let mut crashes = CrashCounts::default();
    crashes.record_crash(poison, process(9), at(0));
    crashes.merge_counts(&of_earlier_version.recent_counts(), at(10));
    assert!(is_refused(&crashes, poison, 20));
}

/// Guards against a refusal without end: instances that drop a count at different times got it back from
/// each other.
#[test]
fn a_request_is_refused_for_a_limited_time() {
    let poison = CrashCounts::fingerprint(&request("attempt-1", "poison"));
    let (mut crashes, mut peer) = (CrashCounts::default(), CrashCounts::default());
    (0..3).for_each(|n| crashes.record_crash(poison, process(n), at(0)));
    peer.merge(&crashes.reports(at(100)), at(100));
    assert!(is_refused(&peer, poison, 119_000));
    for seconds in 120..=130 {
        let now = at(seconds * 1_000);
        crashes.expire(now);
        crashes.merge(&peer.reports(now), now);
        peer.merge(&crashes.reports(now), now);
        peer.expire(now);
    }
    assert!(crashes.is_empty() && peer.is_empty());
}
