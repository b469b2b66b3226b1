//! Who is served while callers compete for too little room.

use almondroad::admission::{
    ClassReport, DemandBoard, FillQuery, Rank, ServiceDemand, ServiceReport, fill_limit,
    return_delay_ms,
};
use almondroad::balance::{WaitQueue, WaitingRequest};
use almondroad::catalog::{RequestLimits, Route, RouteKind, ServiceConfiguration, Target};
use almondroad::units::{OrganisationId, RouteId, ServiceId, Version};
use proptest::prelude::*;

use super::support::{at, service};

const POOL_TOKENS: u64 = 1_000_000;
const MAX_FILL: f64 = 1.1;

fn rank(priority: u8) -> Rank {
    Rank::new(priority, None)
}

fn demand(classes: &[ClassReport]) -> ServiceDemand {
    let mut demand = ServiceDemand::default();
    for class in classes {
        demand.add(class);
    }
    demand
}

fn limit(priority: u8, is_late: bool, demand: &ServiceDemand) -> f64 {
    let query =
        FillQuery { rank: rank(priority), is_late, max_fill: MAX_FILL, pool_tokens: POOL_TOKENS };
    fill_limit(&query, demand)
}

fn peer(index: u8) -> std::net::IpAddr {
    [127, 0, 1, index].into()
}

/// Guards against an urgent organisation that is treated like the route that it uses.
#[test]
fn the_priority_of_an_organisation_replaces_that_of_the_route() {
    assert_eq!(Rank::new(2, Some(0)), rank(0));
    assert!(Rank::new(0, Some(3)) > rank(2));
    assert_eq!(Rank::new(200, None).get(), 9);
}

/// Guards against a change of what deployments send to their engines whose generations all have the
/// same priority, also if calls of another service have a different one.
#[test]
fn routes_of_the_same_priority_have_no_ranks() {
    let (reports, orders) = (ServiceId::new("reports"), ServiceId::new("orders"));
    let route = |path: &str, service: &ServiceId, priority| Route {
        id: RouteId::new(path),
        host: "host".into(),
        path_prefix: path.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        max_event_gap_ms: None,
        priority,
        targets: vec![Target { service: service.clone(), weight: 1 }],
        max_endpoints: 1,
        is_public: true,
    };
    let mut configuration = ServiceConfiguration::new(Version(1), RequestLimits::default());
    configuration.add_route(route("/a/", &reports, 1));
    configuration.add_route(route("/b/", &reports, 1));
    configuration.add_route(route("/c/", &orders, 2));
    assert!(!configuration.has_ranks(&reports) && !configuration.has_ranks(&orders));
    configuration.add_route(route("/d/", &reports, 2));
    assert!(configuration.has_ranks(&reports) && !configuration.has_ranks(&orders));
}

/// Guards against an urgent request that waits behind less urgent ones, and against a late one that
/// delays those that can be in time.
#[test]
fn urgent_requests_are_placed_first_while_they_can_be_in_time() {
    let queue = WaitQueue::default();
    let waiting = |priority, due_ms| WaitingRequest {
        rank: rank(priority),
        due_at: at(due_ms),
        ..WaitingRequest::default()
    };
    let relaxed = queue.enqueue(&waiting(2, 1_500), at(0));
    let urgent = queue.enqueue(&waiting(0, 400), at(10));
    assert!(urgent.is_next(at(20)) && !relaxed.is_next(at(20)));
    assert!(relaxed.is_next(at(500)) && !urgent.is_next(at(500)));
}

/// Guards against refusing an urgent request because many less urgent ones wait, which it passes.
#[test]
fn the_expected_wait_counts_only_requests_that_are_placed_before() {
    let queue = WaitQueue::default();
    let relaxed = WaitingRequest { rank: rank(2), due_at: at(2_000), ..WaitingRequest::default() };
    let _waiting: Vec<_> = (0..20).map(|_| queue.enqueue(&relaxed, at(0))).collect();
    queue.record_placement(at(500));
    assert_eq!(queue.expected_wait_ms(rank(0), at(1_000)), 0);
    assert_eq!(queue.expected_wait_ms(rank(2), at(1_000)), 20_000);
}

/// Guards against one organisation at six times its rate that displaces others within theirs.
#[test]
fn an_organisation_beyond_its_share_waits_behind_the_others() {
    let queue = WaitQueue::default();
    let (heavy, light) = (OrganisationId::new("heavy"), OrganisationId::new("light"));
    let waiting = |organisation, due_ms| WaitingRequest {
        rank: rank(1),
        organisation: Some((organisation, Some(4_000))),
        memory_tokens: 4_000,
        due_at: at(due_ms),
        ..WaitingRequest::default()
    };
    let of_heavy: Vec<_> =
        (0..6).map(|index| queue.enqueue(&waiting(&heavy, 500 + index), at(0))).collect();
    let of_light = queue.enqueue(&waiting(&light, 900), at(10));
    assert!(of_heavy[0].is_next(at(20)));
    let mut placed_before = 0;
    for ticket in of_heavy {
        if of_light.is_next(at(20)) {
            break;
        }
        ticket.record_placement(at(20));
        placed_before += 1;
        drop(ticket);
    }
    assert!(placed_before <= 3, "{placed_before} of six were placed before the other organisation");
}

/// Guards against memory that stays empty for urgent requests which do not come.
#[test]
fn room_for_urgent_requests_is_lent_while_it_is_not_demanded() {
    assert_eq!(limit(2, false, &ServiceDemand::default()), MAX_FILL);
    let offered = demand(&[ClassReport {
        rank: rank(0),
        offered_tokens_per_s: 100_000,
        ..ClassReport::default()
    }]);
    assert_eq!(limit(0, false, &offered), MAX_FILL);
    assert!((limit(2, false, &offered) - 0.9).abs() < 1e-9);
    assert!((limit(0, true, &offered) - 0.9).abs() < 1e-9);
}

/// Guards against demand of the urgent that shuts out all others for good.
#[test]
fn every_rank_may_use_part_of_the_memory() {
    let flood = ClassReport { offered_tokens_per_s: u32::MAX, ..ClassReport::default() };
    assert_eq!(limit(2, false, &demand(&[flood])), MAX_FILL / 2.0);
}

/// Guards against demand that is forgotten when reports are lost for some seconds, counted twice
/// when a report is repeated, or kept for a peer that is gone.
#[test]
fn the_demand_of_peers_outlives_lost_reports_but_not_the_peer() {
    let mut board = DemandBoard::default();
    let class = ClassReport {
        waiting_tokens: 5_000,
        offered_tokens_per_s: 1_000,
        ..ClassReport::default()
    };
    let report = || vec![ServiceReport { service: service(), classes: vec![class] }];
    board.set_peer_report(peer(1), report(), at(0));
    board.set_peer_report(peer(1), report(), at(0));
    board.set_peer_report(peer(2), report(), at(0));
    let all = |board: &DemandBoard, ms| board.service_demand(&service(), at(ms)).all();
    assert_eq!(all(&board, 300).offered_tokens_per_s, 2_000.0);
    assert_eq!(all(&board, 300).waiting_tokens, 10_000.0);
    assert_eq!(all(&board, 5_000).offered_tokens_per_s, 2_000.0);
    assert_eq!(all(&board, 5_000).waiting_tokens, 0.0);
    board.remove_peer(peer(2));
    assert_eq!(all(&board, 300).offered_tokens_per_s, 1_000.0);
    assert_eq!(all(&board, 5_001).offered_tokens_per_s, 0.0);
}

/// Guards against a second wave: refused callers that return together, before there is room, or
/// later than they are willing to wait.
#[test]
fn refused_callers_return_by_rank_over_the_time_in_which_room_comes_free() {
    let class = |priority, refused_tokens_per_s| ClassReport {
        rank: rank(priority),
        admitted_tokens_per_s: 100_000,
        refused_tokens_per_s,
        ..ClassReport::default()
    };
    let demand = demand(&[class(0, 50_000), class(2, 400_000)]);
    let delay = |priority, max_ms, sample| {
        return_delay_ms(rank(priority), &demand, (2_000, 2_500), max_ms, sample)
    };
    assert_eq!(delay(0, 10_000, 0.0), 2_000);
    assert_eq!(delay(0, 10_000, 1.0), 4_500);
    assert_eq!(delay(2, 20_000, 0.0), 2_500);
    assert_eq!(delay(2, 20_000, 1.0), 6_500);
    assert_eq!(delay(2, 4_600, 1.0), 4_600);
    assert!(delay(2, 4_600, 0.0) < 4_000 && delay(2, 900, 0.0) < 900);
}

proptest! {
    /// Guards against a schedule in which an urgent request that can be in time waits while a less
    /// urgent one is placed.
    #[test]
    fn no_less_urgent_request_is_placed_before_an_urgent_one_in_time(
        arrivals in prop::collection::vec((0_u8..4, 0_u64..2_000, 1_u64..2_000, 0_usize..64), 1..40),
    ) {
        let queue = WaitQueue::default();
        let mut waiting = Vec::new();
        let mut arrivals = arrivals;
        arrivals.sort_by_key(|(_, arrived_ms, ..)| *arrived_ms);
        for (priority, arrived_ms, due_ms, first) in arrivals {
            let due_at = at(arrived_ms + due_ms);
            let request =
                WaitingRequest { rank: rank(priority), due_at, ..WaitingRequest::default() };
            waiting.push((priority, due_at, queue.enqueue(&request, at(arrived_ms))));
            // Requests check in any order; every third time an engine has room for one of them.
            if first % 3 != 0 {
                continue;
            }
            let now = at(arrived_ms);
            let start = first % waiting.len();
            waiting.rotate_left(start);
            let next = waiting.iter().position(|(.., ticket)| ticket.is_next(now));
            prop_assert!(next.is_some());
            let (placed, placed_due_at, ticket) = waiting.swap_remove(next.unwrap());
            ticket.record_placement(now);
            for (other, due_at, _) in &waiting {
                let is_passed_over = *due_at >= now && (*other < placed || placed_due_at < now);
                prop_assert!(!is_passed_over, "{other} waits while {placed} is placed");
            }
        }
    }
}
