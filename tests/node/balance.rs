use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::rc::Rc;

use almondroad::balance::{AvoidReport, Balancer, Load, PeerLoad, PlacementError};
use almondroad::catalog::{EndpointChange, EndpointRole};
use almondroad::units::{EndpointId, ServiceId, ZoneId};

use super::support::{at, balancer, decode, endpoint, prefill, service};

const DECODE: Option<EndpointRole> = Some(EndpointRole::Decode);
const PREFILL: Option<EndpointRole> = Some(EndpointRole::Prefill);

/// Guards against prompts that queue on one engine while another one is idle.
#[test]
fn prefill_goes_to_the_engine_with_the_fewest_pending_tokens() {
    let mut balancer = balancer(&[endpoint("p1", "a", PREFILL), endpoint("p2", "a", PREFILL)]);
    let load = Load { requests: 1, prompt_tokens: 6_000, memory_tokens: 6_000 };
    balancer.start_request(&EndpointId::new("p1"), &load, at(0));
    let service = service();
    for _ in 0..20 {
        let placement = balancer.choose_prefill(&prefill(&service, 3_000), at(0)).unwrap();
        assert_eq!(placement.endpoint.id.as_str(), "p2");
    }
}

/// Guards against instances that all choose the engine that one of them has just filled.
#[test]
fn reported_peer_loads_are_counted() {
    let mut balancer = balancer(&[endpoint("p1", "a", PREFILL), endpoint("p2", "a", PREFILL)]);
    let key = balancer.endpoint(&EndpointId::new("p2")).unwrap().key;
    let load = Load { requests: 4, prompt_tokens: 20_000, memory_tokens: 20_000 };
    let peer = [10, 0, 0, 9].into();
    balancer.set_peer_loads(
        peer,
        vec![PeerLoad { endpoint_key: key, load, avoidance: AvoidReport::default() }],
        at(0),
    );
    let service = service();
    let placement = balancer.choose_prefill(&prefill(&service, 3_000), at(0)).unwrap();
    assert_eq!(placement.endpoint.id.as_str(), "p1");
    balancer.remove_peer(peer, at(10));
    assert!(balancer.endpoint(&EndpointId::new("p2")).unwrap().load().is_empty());
}

/// Guards against loads of another zone that are counted twice, once in the zone's report and once in
/// a status, that remain when its reports end, or that lack those of a peer in the zone.
#[test]
fn loads_of_other_zones_are_counted_once() {
    let mut balancer = balancer(&[endpoint("p1", "a", PREFILL)]);
    let id = EndpointId::new("p1");
    let endpoint_key = balancer.endpoint(&id).unwrap().key;
    let of = |prompt_tokens| {
        let load = Load { requests: 1, prompt_tokens, memory_tokens: 0 };
        vec![PeerLoad { endpoint_key, load, avoidance: AvoidReport::default() }]
    };
    let tokens = |balancer: &Balancer| balancer.endpoint(&id).unwrap().load().prompt_tokens;
    let (near, far) = ([10, 0, 0, 2].into(), [10, 0, 1, 2].into());
    balancer.set_peer_loads(near, of(100), at(0));
    balancer.set_peer_loads(far, of(20), at(0));
    assert!(!balancer.is_zone_reported("b"));
    balancer.set_zone_loads("b".into(), of(50), at(10));
    assert!(balancer.is_zone_reported("b"));
    // The next status of the distant peer is taken without its loads.
    balancer.set_peer_loads(far, Vec::new(), at(20));
    balancer.set_zone_loads("b".into(), of(60), at(160));
    assert_eq!(tokens(&balancer), 160);
    let load = Load { requests: 1, prompt_tokens: 7, memory_tokens: 0 };
    balancer.start_request(&id, &load, at(200));
    let reported = balancer.zone_loads([near], at(200));
    assert_eq!(reported.iter().map(|report| report.load.prompt_tokens).sum::<u64>(), 107);
    balancer.expire_zone_loads(at(2_100));
    assert_eq!(tokens(&balancer), 167);
    balancer.expire_zone_loads(at(2_200));
    assert_eq!(tokens(&balancer), 107);
}

/// Guards against generations that are sent to an engine without enough free memory.
#[test]
fn decode_is_not_placed_without_free_memory() {
    let mut balancer = balancer(&[endpoint("d1", "a", DECODE)]);
    let load = Load { requests: 8, prompt_tokens: 0, memory_tokens: 32_000 };
    balancer.start_request(&EndpointId::new("d1"), &load, at(0));
    let service = service();
    let refused = balancer.choose_decode(&decode(&service, 4_000), at(0));
    assert_eq!(refused.unwrap_err(), PlacementError::AllFull);
    balancer.release_load(&EndpointId::new("d1"), &load);
    assert!(balancer.choose_decode(&decode(&service, 4_000), at(1)).is_ok());
}

/// Guards against an instance that has no requests at an engine and retries it every millisecond
/// after a rejection for lack of memory (seen in nmha-router scale-1).
#[test]
fn an_engine_that_rejected_a_request_is_backed_off() {
    let mut balancer = balancer(&[endpoint("d1", "a", DECODE)]);
    let id = EndpointId::new("d1");
    balancer.endpoint_mut(&id).unwrap().record_full(at(0));
    let service = service();
    for ms in [1, 30, 60, 200] {
        assert!(balancer.choose_decode(&decode(&service, 4_000), at(ms)).is_err(), "{ms} ms");
    }
    assert!(balancer.choose_decode(&decode(&service, 4_000), at(1_600)).is_ok());
}

/// Guards against requests to an endpoint process that has exited but whose entry is still in the
/// store: the new process at the same address rejects them because its id differs (seen in
/// scale-1).
#[test]
fn a_new_process_replaces_the_previous_one_at_its_address() {
    let mut balancer = balancer(&[endpoint("d1", "a", DECODE)]);
    let mut successor = endpoint("d9", "a", DECODE);
    successor.address = balancer.endpoint(&EndpointId::new("d1")).unwrap().endpoint.address;
    successor.started_unix_ms = Some(2);
    balancer.apply(&EndpointChange::Set(Rc::new(successor)));
    assert!(balancer.endpoint(&EndpointId::new("d1")).is_none());
    let service = service();
    let placement = balancer.choose_decode(&decode(&service, 100), at(0)).unwrap();
    assert_eq!(placement.endpoint.id.as_str(), "d9");
}

/// Guards against a sound endpoint that gets no more requests because an entry of a service that the
/// configuration does not name claims its address, before or after the configuration is known.
#[test]
fn an_entry_of_an_unnamed_service_replaces_no_endpoint() {
    for is_configured_first in [true, false] {
        let sound = endpoint("d1", "a", DECODE);
        let mut claim = endpoint("d9", "a", None);
        claim.service = ServiceId::new("unnamed");
        claim.address = sound.address;
        claim.started_unix_ms = Some(2);
        let mut balancer = balancer(&[]);
        balancer.set_named_services(HashSet::new());
        let named = HashSet::from([service()]);
        if is_configured_first {
            balancer.set_named_services(named.clone());
        }
        for endpoint in [sound, claim] {
            balancer.apply(&EndpointChange::Set(Rc::new(endpoint)));
        }
        balancer.set_named_services(named);
        let chosen = balancer.choose_decode(&decode(&service(), 100), at(0));
        assert_eq!(chosen.unwrap().endpoint.id.as_str(), "d1");
    }
}

/// Guards against requests to an endpoint that has exited, whose address an endpoint of another
/// service uses now, also if the configuration names that service only later.
#[test]
fn an_entry_of_another_named_service_replaces_the_previous_one_at_its_address() {
    for is_named_later in [false, true] {
        let other = ServiceId::new("other");
        let former = endpoint("d1", "a", DECODE);
        let mut successor = endpoint("d9", "a", DECODE);
        successor.service = other.clone();
        successor.address = former.address;
        successor.started_unix_ms = Some(2);
        let mut balancer = balancer(&[]);
        balancer.set_named_services(HashSet::from([service()]));
        if !is_named_later {
            balancer.set_named_services(HashSet::from([service(), other.clone()]));
        }
        for endpoint in [former, successor] {
            balancer.apply(&EndpointChange::Set(Rc::new(endpoint)));
        }
        balancer.set_named_services(HashSet::from([service(), other.clone()]));
        assert!(balancer.choose_decode(&decode(&service(), 100), at(0)).is_err());
        let chosen = balancer.choose_decode(&decode(&other, 100), at(0));
        assert_eq!(chosen.unwrap().endpoint.id.as_str(), "d9");
    }
}

/// Guards against an outdated entry that arrives after the entry of the new process at the same
/// address.
#[test]
fn a_late_entry_of_the_previous_process_does_not_replace_the_new_one() {
    let mut newer = endpoint("d9", "a", DECODE);
    newer.started_unix_ms = Some(5);
    let mut balancer = balancer(&[newer.clone()]);
    let mut outdated = endpoint("d1", "a", DECODE);
    outdated.address = newer.address;
    balancer.apply(&EndpointChange::Set(Rc::new(outdated)));
    assert!(balancer.endpoint(&EndpointId::new("d9")).is_some());
}

/// Guards against new requests to leaving endpoints and to zones out of service.
#[test]
fn leaving_endpoints_and_zones_out_of_service_get_no_requests() {
    let mut leaving = endpoint("d1", "a", DECODE);
    leaving.is_leaving = true;
    let mut balancer = balancer(&[leaving, endpoint("d2", "b", DECODE)]);
    balancer.set_zones_out_of_service(HashSet::from([ZoneId::new("b")]));
    let service = service();
    let refused = balancer.choose_decode(&decode(&service, 100), at(0));
    assert_eq!(refused.unwrap_err(), PlacementError::NoEndpoint);
}

/// Guards against instances that together send a cold endpoint more requests than it can serve.
#[test]
fn the_cold_rate_is_divided_between_instances() {
    let mut cold = endpoint("d1", "a", DECODE);
    cold.cold_until = at(10_000);
    let mut balancer = balancer(&[cold]);
    let peers: Vec<Ipv4Addr> = (2..=4).map(|last| Ipv4Addr::new(10, 0, 0, last)).collect();
    balancer.set_cold_turns(Ipv4Addr::new(10, 0, 0, 1), peers);
    balancer.set_cold_rate(service(), Some(20.0));
    let service = service();
    let mut sent = 0;
    for ms in 0..1_000 {
        if let Ok(placement) = balancer.choose_decode(&decode(&service, 1), at(ms)) {
            let load = Load { requests: 1, ..Load::default() };
            balancer.start_request(&placement.endpoint.id, &load, at(ms));
            balancer.release_load(&placement.endpoint.id, &load);
            sent += 1;
        }
    }
    assert!((1..=5).contains(&sent), "{sent} of at most 20 / 4 requests per second");
}

/// Guards against requests to a failing endpoint whose entry still says that it is ready, and
/// against a surge of requests when it is retried.
#[test]
fn a_failed_endpoint_is_avoided_and_then_probed_with_one_request() {
    let mut balancer = balancer(&[endpoint("e1", "a", None)]);
    let id = EndpointId::new("e1");
    balancer.endpoint_mut(&id).unwrap().health.record_failure(at(0));
    let service = service();
    assert!(balancer.choose_plain(&service, &[], at(100)).is_err());
    assert!(balancer.choose_plain(&service, &[], at(500)).is_ok());
    balancer.start_request(&id, &Load { requests: 1, ..Load::default() }, at(500));
    assert_eq!(balancer.choose_plain(&service, &[], at(501)).unwrap_err(), PlacementError::AllFull);
    balancer.endpoint_mut(&id).unwrap().health.record_success(at(560));
    assert!(balancer.choose_plain(&service, &[], at(561)).is_ok());
}

/// Guards against instances that detect a failed endpoint only through failures of their own.
#[test]
fn an_endpoint_avoided_by_a_peer_is_avoided() {
    let mut balancer = balancer(&[endpoint("e1", "a", None), endpoint("e2", "b", None)]);
    let key = balancer.endpoint(&EndpointId::new("e1")).unwrap().key;
    let report = PeerLoad {
        endpoint_key: key,
        load: Load::default(),
        avoidance: AvoidReport::new(800, false),
    };
    balancer.set_peer_loads([10, 0, 0, 9].into(), vec![report], at(0));
    let service = service();
    for ms in [0, 300, 700] {
        let placement = balancer.choose_plain(&service, &[], at(ms)).unwrap();
        assert_eq!(placement.endpoint.id.as_str(), "e2", "{ms} ms");
    }
}
