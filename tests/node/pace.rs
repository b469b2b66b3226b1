//! Load of a fleet on endpoints that have just started or recovered.

use std::net::Ipv4Addr;
use std::rc::Rc;

use almondroad::balance::{AvoidReport, Balancer, ColdTurns, Load, Pace, PeerLoad};
use almondroad::catalog::{Endpoint, EndpointChange};
use almondroad::clock::Instant;

use super::support::{at, endpoint, seeded_balancer, service};

const SLOTS: u32 = 128;
const STEP_MS: u64 = 250;
/// Steps of good answers within which an endpoint with `SLOTS` has to have its full share.
const MAX_STEPS: u64 = 6;

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8)
}

fn begun() -> Pace {
    let mut pace = Pace::default();
    pace.begin(Some(1.0), 50.0, at(0));
    pace
}

fn limit_at(pace: &mut Pace, ms: u64) -> u32 {
    pace.advance(SLOTS, at(ms));
    pace.limit().unwrap_or(SLOTS)
}

/// Guards against an endpoint that answers well and is left idle for long.
#[test]
fn an_endpoint_that_answers_well_reaches_its_full_share() {
    let mut pace = begun();
    for step in 0..MAX_STEPS {
        pace.record_answer(1.0);
        limit_at(&mut pace, step * STEP_MS);
    }
    assert_eq!(limit_at(&mut pace, MAX_STEPS * STEP_MS), SLOTS);
    assert_eq!(pace.limit(), None);
}

/// Guards against more load on an endpoint that answers slowly, and against one that is slow by build
/// and never gets its share.
#[test]
fn slow_answers_hold_the_limit_for_a_limited_time() {
    let mut pace = begun();
    let first = limit_at(&mut pace, 0);
    for ms in (0..5_000).step_by(50) {
        pace.record_answer(4.0);
        assert_eq!(limit_at(&mut pace, ms), first, "after {ms} ms");
    }
    for ms in (5_000..9_000).step_by(50) {
        pace.record_answer(4.0);
        limit_at(&mut pace, ms);
    }
    assert_eq!(pace.limit(), None);
}

/// Guards against a limit that goes on growing while requests fail or are rejected.
#[test]
fn failures_cut_the_limit() {
    let mut pace = begun();
    let grown = limit_at(&mut pace, 3 * STEP_MS);
    pace.record_failure(at(3 * STEP_MS));
    assert_eq!(limit_at(&mut pace, 3 * STEP_MS), grown / 2);
    for ms in (1_000..3_000).step_by(100) {
        pace.record_failure(at(ms));
        assert!(limit_at(&mut pace, ms) < grown);
    }
}

/// Guards against a fleet in which each instance takes one request at least, and against one in which
/// no instance has a turn.
#[test]
fn the_parts_of_all_instances_add_up_to_the_limit() {
    for instances in [1, 8, 60, 400] {
        let fleet: Vec<ColdTurns> = (0..instances)
            .map(|own| {
                let mut turns = ColdTurns::default();
                let peers = (0..instances).filter(|peer| *peer != own);
                turns.set_fleet(address(own), peers.map(address));
                turns
            })
            .collect();
        for limit in [1, 4, 64, 1_000] {
            let sum: u32 = fleet.iter().map(|turns| turns.part(77 << 20, limit)).sum();
            assert_eq!(sum, limit, "{instances} instances");
        }
    }
}

/// Balancers of a fleet that knows one endpoint with a long queue.
fn fleet(instances: usize) -> Vec<Balancer> {
    let known = plain("known");
    let balancers = (0..instances).map(|own| {
        let mut balancer = seeded_balancer(std::slice::from_ref(&known), own as u64);
        let peers = (0..instances).filter(|peer| *peer != own);
        balancer.set_cold_turns(address(own), peers.map(address));
        balancer.set_paced(true);
        balancer.set_endpoints_known();
        let load = Load { requests: 500, ..Load::default() };
        balancer.start_request(&known.id, &load, at(0));
        balancer
    });
    balancers.collect()
}

fn plain(id: &str) -> Endpoint {
    Endpoint { slots: SLOTS, ..endpoint(id, "a", None) }
}

/// Places requests at each instance until it turns to another endpoint, and returns how many all of
/// them have placed at `target`.
fn flood(fleet: &mut [Balancer], target: &Endpoint, now: Instant) -> u32 {
    for balancer in fleet.iter_mut() {
        while let Ok(placement) = balancer.choose_plain(&service(), &[], now) {
            if placement.endpoint.id != target.id {
                break;
            }
            let load = Load { requests: 1, ..Load::default() };
            balancer.start_request(&target.id, &load, now);
        }
    }
    fleet.iter().map(|balancer| local_requests(balancer, target)).sum()
}

fn local_requests(balancer: &Balancer, target: &Endpoint) -> u32 {
    balancer.endpoint(&target.id).map_or(0, |state| state.local_load.requests)
}

/// Guards against a new endpoint that all instances turn to at once, since it has no load, and against
/// one that gets nothing.
#[test]
fn a_new_endpoint_is_not_flooded_by_the_fleet() {
    for instances in [1, 8, 60] {
        let mut fleet = fleet(instances);
        let new = plain("new");
        for balancer in &mut fleet {
            balancer.apply(&EndpointChange::Set(Rc::new(new.clone())));
        }
        let first = flood(&mut fleet, &new, at(0));
        assert!((1..=4).contains(&first), "{instances} instances: {first} at once");
        let later = flood(&mut fleet, &new, at(2 * STEP_MS));
        assert!(later <= 16 && later > first, "{instances} instances: {later} after two steps");
        let full = flood(&mut fleet, &new, at(MAX_STEPS * STEP_MS));
        assert!(full >= SLOTS, "{instances} instances: {full} at its full share");
    }
}

/// Guards against a fleet that floods an endpoint which was down for a while, when it answers again.
#[test]
fn an_endpoint_that_recovers_is_not_flooded() {
    let mut fleet = fleet(60);
    let back = plain("back");
    for balancer in &mut fleet {
        balancer.apply(&EndpointChange::Set(Rc::new(back.clone())));
        let state = balancer.endpoint_mut(&back.id).unwrap();
        state.is_returning = false;
        state.health.record_failure(at(0));
        state.health.record_failure(at(10));
        state.health.record_success(at(2_000));
    }
    let first = flood(&mut fleet, &back, at(2_000));
    assert!((1..=4).contains(&first), "{first} at once");
}

/// Guards against a pace for endpoints that run when an instance starts, and where the configuration
/// gives cold rates.
#[test]
fn known_endpoints_and_cold_rates_have_no_pace() {
    let mut restarted = vec![seeded_balancer(&[plain("running"), plain("known")], 1)];
    restarted[0].set_paced(true);
    let load = Load { requests: 500, ..Load::default() };
    restarted[0].start_request(&plain("known").id, &load, at(0));
    assert!(flood(&mut restarted, &plain("running"), at(0)) > 4);
    let mut with_rates = fleet(1);
    with_rates[0].set_paced(false);
    let new = plain("new");
    with_rates[0].apply(&EndpointChange::Set(Rc::new(new.clone())));
    assert!(flood(&mut with_rates, &new, at(0)) > 4);
}

/// Guards against peers that raise the limit of an endpoint which answers others slowly.
#[test]
fn slowness_is_told_to_peers() {
    let report = AvoidReport::new(0, false).with_slowness(true);
    assert!(report.is_slow() && !report.is_avoided());
    assert!(AvoidReport::new(400, true).merge(report).is_slow());
    let mut fleet = fleet(2);
    let new = plain("new");
    for balancer in &mut fleet {
        balancer.apply(&EndpointChange::Set(Rc::new(new.clone())));
    }
    flood(&mut fleet, &new, at(0));
    let balancer = &mut fleet[0];
    let endpoint_key = balancer.endpoint(&new.id).unwrap().key;
    let reported = PeerLoad { endpoint_key, load: Load::default(), avoidance: report };
    balancer.set_peer_loads(address(1).into(), vec![reported], at(100));
    let limit = balancer.endpoint(&new.id).unwrap().pace.limit();
    let _ = balancer.choose_plain(&service(), &[], at(STEP_MS));
    assert_eq!(balancer.endpoint(&new.id).unwrap().pace.limit(), limit);
}
