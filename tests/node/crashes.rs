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

/// Time between crashes that have separate causes.
const APART_MS: u64 = 200;

/// Endpoints 0 to 2 end under a request, one after the other.
fn crash_three(crashes: &mut CrashCounts, fingerprint: Fingerprint) {
    for n in 0..3 {
        crashes.record_crash(fingerprint, process(n), at(u64::from(n) * APART_MS));
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
        assert!(!is_refused(&crashes, again, n * APART_MS));
        crashes.record_crash(again, process(n as u32), at(n * APART_MS));
    }
    let mut peer = CrashCounts::default();
    peer.merge(&crashes.reports(at(410)), at(410));
    let again = CrashCounts::fingerprint(&request("attempt-9", "poison"));
    assert!(is_refused(&crashes, again, 410) && is_refused(&peer, again, 410));
    let harmless = CrashCounts::fingerprint(&request("attempt-9", "harmless"));
    assert!(!is_refused(&peer, harmless, 410));
}

/// Guards against a request that goes on crashing endpoints because its caller repeats it at several
/// instances, each of which has seen one crash.
#[test]
fn crashes_that_several_instances_have_seen_are_added_up() {
    let poison = CrashCounts::fingerprint(&request("attempt-1", "poison"));
    let mut fleet: Vec<CrashCounts> = (0..4).map(|_| CrashCounts::default()).collect();
    for (n, seen_by) in fleet[..3].iter_mut().enumerate() {
        seen_by.record_crash(poison, process(n as u32), at(n as u64 * APART_MS));
    }
    let reports: Vec<_> = fleet.iter().map(|crashes| crashes.reports(at(450))).collect();
    for crashes in &mut fleet {
        reports.iter().for_each(|report| crashes.merge(report, at(460)));
        assert!(is_refused(crashes, poison, 460));
    }
}

/// Guards against a request that is refused too late while a fleet is upgraded: instances of the
/// version before exchange numbers.
#[test]
fn counts_of_an_earlier_version_are_lower_bounds() {
    let poison = CrashCounts::fingerprint(&request("attempt-1", "poison"));
    let mut of_earlier_version = CrashCounts::default();
    crash_three(&mut of_earlier_version, poison);
    let mut crashes = CrashCounts::default();
    crashes.record_crash(poison, process(9), at(0));
    crashes.merge_counts(&of_earlier_version.recent_counts(), at(410));
    assert!(is_refused(&crashes, poison, 420));
}

/// Guards against a refusal without end: instances that drop a count at different times got it back from
/// each other.
#[test]
fn a_request_is_refused_for_a_limited_time() {
    let poison = CrashCounts::fingerprint(&request("attempt-1", "poison"));
    let (mut crashes, mut peer) = (CrashCounts::default(), CrashCounts::default());
    crash_three(&mut crashes, poison);
    peer.merge(&crashes.reports(at(500)), at(500));
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

/// Guards against the refusal of a look-up that ran at three endpoints which the loss of a rack has
/// ended at one moment: that is one crash, whoever has seen its parts.
#[test]
fn endpoints_that_end_at_one_moment_count_as_one_crash() {
    let look_up = CrashCounts::fingerprint(&request("attempt-1", "look-up"));
    let mut fleet: Vec<CrashCounts> = (0..3).map(|_| CrashCounts::default()).collect();
    for (n, crashes) in fleet.iter_mut().enumerate() {
        crashes.record_crash(look_up, process(n as u32), at(n as u64 * 20));
        crashes.record_crash(look_up, process(n as u32 + 10), at(n as u64 * 20 + 5));
    }
    let reports: Vec<_> = fleet.iter().map(|crashes| crashes.reports(at(80))).collect();
    let counts: Vec<_> = fleet.iter().map(CrashCounts::recent_counts).collect();
    for crashes in &mut fleet {
        reports.iter().for_each(|report| crashes.merge(report, at(90)));
        counts.iter().for_each(|count| crashes.merge_counts(count, at(90)));
        assert!(!is_refused(crashes, look_up, 90));
        let count = crashes.recent_counts()[0].crashes;
        assert_eq!(count, 1, "told to an earlier version");
    }
}
