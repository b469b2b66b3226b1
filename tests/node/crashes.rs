use almondroad::forward::{CallerRequest, CrashCounts};
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

/// Guards against a request that crashes one endpoint after another: its caller repeats it with new
/// ids at any instance.
#[test]
fn a_request_that_crashed_three_endpoints_is_rejected_by_every_instance() {
    let mut crashes = CrashCounts::default();
    for n in 0..3_u64 {
        let again = CrashCounts::fingerprint(&request(&format!("attempt-{n}"), "poison"));
        assert!(!crashes.is_refused(again));
        crashes.record_crash(again, at(n));
    }
    let mut peer = CrashCounts::default();
    peer.merge(&crashes.recent_counts(), at(10));
    let again = CrashCounts::fingerprint(&request("attempt-9", "poison"));
    assert!(crashes.is_refused(again) && peer.is_refused(again));
    assert!(!peer.is_refused(CrashCounts::fingerprint(&request("attempt-9", "harmless"))));
}
