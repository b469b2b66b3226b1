use std::collections::HashSet;
use std::rc::Rc;

use almondroad::balance::{Load, PeerLoad, PlacementError};
use almondroad::catalog::{EndpointChange, EndpointRole};
use almondroad::units::{EndpointId, ZoneId};

use super::support::{at, balancer, decode, endpoint, prefill, service};

const DECODE: Option<EndpointRole> = Some(EndpointRole::Decode);
const PREFILL: Option<EndpointRole> = Some(EndpointRole::Prefill);

/// Guards against prompts that queue at one engine while another is idle.
#[test]
fn a_prompt_goes_to_the_engine_with_the_fewest_tokens_ahead() {
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
fn loads_that_peers_report_count() {
    let mut balancer = balancer(&[endpoint("p1", "a", PREFILL), endpoint("p2", "a", PREFILL)]);
    let key = balancer.endpoint(&EndpointId::new("p2")).unwrap().key;
    let load = Load { requests: 4, prompt_tokens: 20_000, memory_tokens: 20_000 };
    let peer = [10, 0, 0, 9].into();
    balancer.set_peer_loads(peer, vec![PeerLoad { endpoint_key: key, load, avoid_ms: 0 }], at(0));
    let service = service();
    let placement = balancer.choose_prefill(&prefill(&service, 3_000), at(0)).unwrap();
    assert_eq!(placement.endpoint.id.as_str(), "p1");
    balancer.remove_peer(peer, at(10));
    assert!(balancer.endpoint(&EndpointId::new("p2")).unwrap().load().is_empty());
}

/// Guards against generations that are sent to an engine without memory for them.
#[test]
fn a_generation_waits_when_no_engine_has_memory_left() {
    let mut balancer = balancer(&[endpoint("d1", "a", DECODE)]);
    let load = Load { requests: 8, prompt_tokens: 0, memory_tokens: 32_000 };
    balancer.start_request(&EndpointId::new("d1"), &load, at(0));
    let service = service();
    let refused = balancer.choose_decode(&decode(&service, 4_000), at(0));
    assert_eq!(refused.unwrap_err(), PlacementError::AllFull);
    balancer.release_load(&EndpointId::new("d1"), &load);
    assert!(balancer.choose_decode(&decode(&service, 4_000), at(1)).is_ok());
}

/// Guards against an instance without requests of its own at an engine that asks it every ms for
/// memory which it has just refused (nmha-router scale-1).
#[test]
fn an_engine_that_refused_is_left_alone_for_a_while() {
    let mut balancer = balancer(&[endpoint("d1", "a", DECODE)]);
    let id = EndpointId::new("d1");
    balancer.endpoint_mut(&id).unwrap().record_full(at(0));
    let service = service();
    for ms in [1, 30, 60, 200] {
        assert!(balancer.choose_decode(&decode(&service, 4_000), at(ms)).is_err(), "{ms} ms");
    }
    assert!(balancer.choose_decode(&decode(&service, 4_000), at(1_600)).is_ok());
}

/// Guards against requests to a run of an endpoint that has ended, while its entry still lies in
/// the store: the new run at the same address answers that it is another one (scale-1).
#[test]
fn a_new_run_at_an_address_replaces_the_former_one() {
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

/// Guards against an old entry that arrives after the one of the new run at the same address.
#[test]
fn a_late_entry_of_a_former_run_does_not_replace_the_new_one() {
    let mut newer = endpoint("d9", "a", DECODE);
    newer.started_unix_ms = Some(5);
    let mut balancer = balancer(&[newer.clone()]);
    let mut former = endpoint("d1", "a", DECODE);
    former.address = newer.address;
    balancer.apply(&EndpointChange::Set(Rc::new(former)));
    assert!(balancer.endpoint(&EndpointId::new("d9")).is_some());
}

/// Guards against new work for endpoints that leave and for zones out of service.
#[test]
fn leaving_endpoints_and_zones_out_of_service_get_nothing() {
    let mut leaving = endpoint("d1", "a", DECODE);
    leaving.is_leaving = true;
    let mut balancer = balancer(&[leaving, endpoint("d2", "b", DECODE)]);
    balancer.set_zones_out_of_service(HashSet::from([ZoneId::new("b")]));
    let service = service();
    let refused = balancer.choose_decode(&decode(&service, 100), at(0));
    assert_eq!(refused.unwrap_err(), PlacementError::NoEndpoint);
}

/// Guards against more requests to a cold endpoint than it bears, summed over all instances.
#[test]
fn a_cold_endpoint_gets_this_instances_part_of_its_rate() {
    let mut cold = endpoint("d1", "a", DECODE);
    cold.cold_until = at(10_000);
    let mut balancer = balancer(&[cold]);
    balancer.set_instances(4);
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
    assert!((1..=5).contains(&sent), "{sent} of at most 20 / 4 requests in a second");
}

/// Guards against work for an endpoint that fails while its entry still says that it is ready,
/// and against a rush on it when it is tried again.
#[test]
fn a_failed_endpoint_is_avoided_and_then_tried_with_one_request() {
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

/// Guards against peers that learn of a failed endpoint only by failing themselves.
#[test]
fn an_endpoint_that_a_peer_avoids_is_avoided_too() {
    let mut balancer = balancer(&[endpoint("e1", "a", None), endpoint("e2", "b", None)]);
    let key = balancer.endpoint(&EndpointId::new("e1")).unwrap().key;
    let told = PeerLoad { endpoint_key: key, load: Load::default(), avoid_ms: 800 };
    balancer.set_peer_loads([10, 0, 0, 9].into(), vec![told], at(0));
    let service = service();
    for ms in [0, 300, 700] {
        let placement = balancer.choose_plain(&service, &[], at(ms)).unwrap();
        assert_eq!(placement.endpoint.id.as_str(), "e2", "{ms} ms");
    }
}
