//! Versions that requests may go to, with and without an order.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use almondroad::balance::VersionFilter;
use almondroad::rollout::{
    RolloutOrder, RolloutPhase, RolloutSettings, RolloutState, Rollouts, slack_part,
};
use smol_str::SmolStr;

use super::support::{at, service};

const SETTINGS: RolloutSettings =
    RolloutSettings { exposure_share: 0.1, exposure_slack: 50.0, rollback_ms: 5_000 };

fn order() -> RolloutOrder {
    RolloutOrder { service: service(), target: "v2".into(), deadline_ms: 60_000 }
}

fn endpoints(old: usize, new: usize) -> BTreeMap<SmolStr, usize> {
    BTreeMap::from([("v1".into(), old), ("v2".into(), new)])
}

fn filter(rollouts: &mut Rollouts, ms: u64) -> VersionFilter {
    rollouts.choose(&service(), true, 1, at(ms)).filter
}

fn allows(rollouts: &mut Rollouts, version: &str, ms: u64) -> bool {
    filter(rollouts, ms).allows(&version.into())
}

fn first_state() -> RolloutState {
    RolloutState::first(7, "v2".into(), 1_000, 60_000)
}

/// Guards against a deployment without roll-outs whose endpoints are held.
#[test]
fn nothing_is_held_without_settings() {
    let mut rollouts = Rollouts::new(None);
    rollouts.update_versions(&service(), &endpoints(3, 1), at(0));
    assert!(!rollouts.apply_order(order(), 7, 5));
    assert_eq!(filter(&mut rollouts, 0), VersionFilter::Except(Vec::new()));
}

/// Guards against an instance that learns of the new endpoints before the order and sends to them.
#[test]
fn a_version_is_held_until_its_order_can_be_known() {
    let mut rollouts = Rollouts::new(Some(SETTINGS));
    rollouts.update_versions(&service(), &endpoints(3, 1), at(0));
    assert!(allows(&mut rollouts, "v1", 3_000) && !allows(&mut rollouts, "v2", 3_000));
    assert!(rollouts.apply_order(order(), 7, 0));
    rollouts.expire_holds(at(100_000));
    assert!(allows(&mut rollouts, "v1", 100_000) && !allows(&mut rollouts, "v2", 100_000));
}

/// Guards against a planned replacement of endpoints without an order that gets no requests.
#[test]
fn a_version_without_an_order_is_accepted_after_a_while() {
    let mut rollouts = Rollouts::new(Some(SETTINGS));
    rollouts.update_versions(&service(), &endpoints(3, 1), at(0));
    rollouts.expire_holds(at(4_000));
    assert!(allows(&mut rollouts, "v1", 4_000) && allows(&mut rollouts, "v2", 4_000));
    let mut replaced = Rollouts::new(Some(SETTINGS));
    replaced.update_versions(&service(), &endpoints(3, 1), at(0));
    replaced.update_versions(&service(), &BTreeMap::from([("v2".into(), 3)]), at(10));
    assert!(allows(&mut replaced, "v2", 10));
}

/// Guards against an instance that is cut off and goes on sending to a version under observation,
/// and against one that goes back to endpoints which stop on success.
#[test]
fn observation_needs_an_instance_that_decides() {
    let mut rollouts = Rollouts::new(Some(SETTINGS));
    rollouts.update_versions(&service(), &endpoints(3, 3), at(0));
    rollouts.apply_order(order(), 7, 10);
    assert!(!allows(&mut rollouts, "v2", 10));
    rollouts.apply_state(&service(), &first_state(), at(20));
    assert!(!allows(&mut rollouts, "v2", 20));
    rollouts.rollout_mut(&service()).unwrap().confirm(at(30));
    assert_eq!(filter(&mut rollouts, 40), VersionFilter::Only("v2".into()));
    let taken = rollouts.choose(&service(), true, 1, at(50));
    assert!(rollouts.is_current(&service(), &taken, at(60)));
    assert!(!rollouts.is_current(&service(), &taken, at(3_100)));
    assert!(!allows(&mut rollouts, "v2", 3_100));
    let moving = first_state().advance(RolloutPhase::Moving, 30_000);
    rollouts.apply_state(&service(), &moving, at(30_000));
    assert_eq!(filter(&mut rollouts, 59_000), VersionFilter::Only("v2".into()));
    // An older step does not undo a newer one.
    assert!(!rollouts.apply_state(&service(), &first_state(), at(59_001)));
    let back = moving.advance(RolloutPhase::RolledBack, 31_000);
    rollouts.apply_state(&service(), &back, at(59_002));
    assert!(allows(&mut rollouts, "v1", 59_003) && !allows(&mut rollouts, "v2", 59_003));
}

/// Guards against retries that use the allowance of a version under observation again.
#[test]
fn only_first_attempts_are_observed() {
    let mut rollouts = Rollouts::new(Some(SETTINGS));
    rollouts.apply_order(order(), 7, 10);
    rollouts.apply_state(&service(), &first_state(), at(0));
    rollouts.rollout_mut(&service()).unwrap().confirm(at(0));
    let retry = rollouts.choose(&service(), false, 1, at(1));
    assert!(!retry.filter.allows(&"v2".into()));
}

/// Guards against success while a peer has not reported that it moved, or still runs requests on
/// the old version.
#[test]
fn all_instances_must_have_moved() {
    let peer = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let moving = first_state().advance(RolloutPhase::Moving, 30_000);
    let moved = |peer_requests: Option<u32>, own_requests: u32| {
        let mut own = Rollouts::new(Some(SETTINGS));
        own.apply_order(order(), 7, 0);
        own.apply_state(&service(), &moving, at(0));
        let mut other = Rollouts::new(Some(SETTINGS));
        other.apply_order(order(), 7, 0);
        other.apply_state(&service(), &moving, at(0));
        if let Some(requests) = peer_requests {
            own.apply_reports((peer, 1), &other.reports(|_, _| requests, at(1)), at(1));
        }
        let rollout = own.rollout(&service()).unwrap();
        rollout.is_moved_everywhere(own_requests, [peer], at(2))
    };
    assert!(moved(Some(0), 0));
    assert!(!moved(None, 0) && !moved(Some(1), 0) && !moved(Some(0), 1));
}

/// Guards against parts of the slack that add up to more than the slack.
#[test]
fn parts_of_the_slack_add_up() {
    for instances in [1, 3, 8, 87, 300] {
        let sum: u64 = (0..instances).map(|index| slack_part(50.0, index, instances)).sum();
        assert_eq!(sum, 35, "{instances}");
    }
}
