use almondroad::catalog::{
    Catalog, DecodeError, Endpoint, EndpointChange, OperatorRow, RequestLimits, Route, RouteKind,
    RowDecoder, ServiceConfiguration, Target,
};
use almondroad::clock::{Instant, TokioClock};
use almondroad::replica::RowChange;
use almondroad::units::{RouteId, Version};

use super::support::{endpoint, service};

/// Decodes `ready` and `leaving` as the state of the endpoint named by the key.
struct KeyDecoder;

impl RowDecoder for KeyDecoder {
    fn operator_row(&self, _: &str, _: &[u8]) -> Result<OperatorRow, DecodeError> {
        Ok(OperatorRow::Other)
    }

    fn endpoint(&self, key: &str, value: &[u8], _: Instant) -> Result<Endpoint, DecodeError> {
        let mut endpoint = endpoint(key, "a", None);
        match value {
            b"ready" => {}
            b"leaving" => endpoint.is_leaving = true,
            _ => return Err(DecodeError { key: key.into(), reason: "unknown state".into() }),
        }
        Ok(endpoint)
    }
}

fn change(key: &str, value: Option<&'static str>) -> RowChange {
    RowChange { key: key.into(), version: 1, value: value.map(|text| text.as_bytes().into()) }
}

fn route(prefix: &str) -> Route {
    Route {
        id: RouteId::new(prefix),
        host: "desk.example".into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 300,
        max_event_gap_ms: None,
        priority: 1,
        targets: vec![Target { service: service(), weight: 1 }],
        max_endpoints: 2,
        is_public: false,
    }
}

/// Guards against a shorter prefix that takes requests from a longer one.
#[test]
fn the_longest_prefix_wins() {
    let mut configuration = ServiceConfiguration::new(Version(1), RequestLimits::default());
    for prefix in ["/a/", "/a/b/"] {
        configuration.add_route(route(prefix));
    }
    let find = |path| {
        configuration.find_route("desk.example", path).map(|route| route.path_prefix.as_str())
    };
    assert_eq!(find("/a/b/c"), Some("/a/b/"));
    assert_eq!(find("/a/bc"), Some("/a/"));
    assert_eq!(find("/ab"), None);
    assert!(configuration.find_route("other.example", "/a/b").is_none());
}

/// Guards against a service that receives none or all of the requests of a split route.
#[test]
fn a_split_route_follows_its_weights() {
    let mut split = route("/a/");
    let second = almondroad::units::ServiceId::new("second");
    split.targets = vec![
        Target { service: service(), weight: 90 },
        Target { service: second.clone(), weight: 10 },
    ];
    let to_second =
        (0..1_000).filter(|n| split.select_service(f64::from(*n) / 1_000.0) == Some(&second));
    assert_eq!(to_second.count(), 100);
    assert_eq!(split.select_service(1.0), Some(&second));
}

/// Guards against an outage of the store that empties the list of endpoints: their entries expire
/// during the outage and are written again about 2 s after its end.
#[tokio::test(start_paused = true)]
async fn endpoints_stay_in_use_during_the_grace_period() {
    let catalog = Catalog::new(KeyDecoder, TokioClock::new());
    catalog.apply_endpoint_rows(&[change("e1", Some("ready")), change("e2", Some("ready"))], true);
    let removed = catalog.apply_endpoint_rows(&[change("e1", None), change("e2", None)], false);
    assert!(removed.is_empty());
    tokio::time::advance(std::time::Duration::from_millis(1_500)).await;
    assert!(catalog.take_expired().is_empty());
    catalog.apply_endpoint_rows(&[change("e1", Some("ready"))], true);
    // An endpoint that left must get no requests later than 2 s after its entry was removed, and
    // the instance cannot distinguish an outage of the store from one of its own connections (seen
    // in bmlw-ops hunt-100d-23, DRAIN).
    tokio::time::advance(std::time::Duration::from_millis(300)).await;
    let expired = catalog.take_expired();
    assert!(matches!(&expired[..], [EndpointChange::Removed(id)] if id.as_str() == "e2"));
}

/// Guards against a leaving endpoint that is used again after its entry was removed.
#[test]
fn a_leaving_endpoint_is_removed_with_its_entry() {
    let catalog = Catalog::new(KeyDecoder, StoppedClock);
    catalog.apply_endpoint_rows(&[change("e1", Some("leaving"))], true);
    let endpoint_changes = catalog.apply_endpoint_rows(&[change("e1", None)], true);
    assert!(matches!(&endpoint_changes[..], [EndpointChange::Removed(_)]));
}

/// Guards against an invalid entry of another writer that keeps an endpoint in use or stops the
/// processing of further entries.
#[test]
fn an_undecodable_entry_removes_its_endpoint_and_no_other() {
    let catalog = Catalog::new(KeyDecoder, StoppedClock);
    catalog.apply_endpoint_rows(&[change("e1", Some("ready"))], true);
    let changes = [change("e1", Some("\u{1}broken")), change("e2", Some("ready"))];
    let endpoint_changes = catalog.apply_endpoint_rows(&changes, true);
    assert!(matches!(&endpoint_changes[..], [EndpointChange::Removed(_), EndpointChange::Set(_)]));
}

/// A clock that always returns the same time.
#[derive(Clone)]
struct StoppedClock;

impl almondroad::clock::Clock for StoppedClock {
    fn now(&self) -> Instant {
        super::support::at(0)
    }
}
