//! Background tasks that apply store changes, expire state and discover peers.

use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;
use tokio::sync::mpsc;

use crate::clock::{Clock, Instant};
use crate::fleet::InstanceRegistry;
use crate::node::{NodeState, PlatformAdapter};
use crate::replica::{RowChange, Topic};
use crate::rollout::slack_part;

/// Interval between checks for expired state.
const MAINTENANCE_INTERVAL_MS: u64 = 100;
/// Interval between attempts to register.
const REGISTER_RETRY_MS: u64 = 500;
/// Interval between reads of the registry while no peer is live.
const REGISTRY_POLL_MS: u64 = 3_000;

/// Applies changes of the replicated tables to the catalog, the balancer and the quotas.
pub(super) async fn apply_changes<A: PlatformAdapter, C: Clock>(
    node: Rc<NodeState<A, C>>,
    mut changes: mpsc::UnboundedReceiver<(Topic, Vec<RowChange>)>,
) {
    while let Some((topic, rows)) = changes.recv().await {
        let follower = node.follower(topic);
        match topic {
            Topic::Operator => {
                let is_first = node.catalog.configuration().is_none();
                node.catalog.apply_operator_rows(&follower.replica(), &rows);
                apply_configuration(&node);
                apply_rollout_orders(&node, is_first);
            }
            Topic::Endpoints => {
                let endpoint_changes =
                    node.catalog.apply_endpoint_rows(&rows, follower.is_steady());
                apply_endpoint_changes(&node, &endpoint_changes);
                update_versions(&node);
            }
        }
    }
}

fn apply_configuration<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>) {
    let mut balancer = node.balancer.borrow_mut();
    balancer.set_zones_out_of_service(node.catalog.zones_out_of_service());
    let Some(configuration) = node.catalog.configuration() else { return };
    let mut has_cold_rates = false;
    balancer.set_named_services(configuration.services().map(|s| s.id.clone()).collect());
    for service in configuration.services() {
        balancer.set_cold_rate(service.id.clone(), service.cold_requests_per_s);
        has_cold_rates |= service.cold_requests_per_s.is_some();
    }
    balancer.set_paced(node.settings.finds_pace && !has_cold_rates);
    let now = node.clock.now();
    node.quotas.borrow_mut().set_customers(configuration.customers(), now);
}

/// Applies orders to roll out a version. An instance that started after the order gets no part of
/// the slack, which its predecessor at the same address may have used.
fn apply_rollout_orders<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>, is_first: bool) {
    let mut rollouts = node.rollouts.borrow_mut();
    let Some(settings) = rollouts.settings().copied() else { return };
    let members = node.members.borrow();
    let is_slack_usable = !is_first && members.is_settled(node.clock.now());
    let (index, instances) = members.own_position();
    for (order, version) in node.catalog.rollout_orders() {
        let slack_requests = match is_slack_usable {
            true => slack_part(settings.exposure_slack, index, instances),
            false => 0,
        };
        let (service, target) = (order.service.clone(), order.target.clone());
        let deadline_ms = order.deadline_ms;
        if rollouts.apply_order(order, version, slack_requests) {
            log::info!(target: "rollout", service = service.as_str(),
                target_version = target.as_str(), order = version, deadline_ms = deadline_ms,
                slack_requests = slack_requests; "roll-out ordered");
        }
    }
}

/// Holds versions that appear without an order for a while.
fn update_versions<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>) {
    let mut rollouts = node.rollouts.borrow_mut();
    if rollouts.settings().is_none() {
        return;
    }
    let now = node.clock.now();
    let balancer = node.balancer.borrow();
    for service in balancer.services() {
        rollouts.update_versions(service, &balancer.versions(service), now);
    }
}

fn apply_endpoint_changes<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    endpoint_changes: &[crate::catalog::EndpointChange],
) {
    let mut balancer = node.balancer.borrow_mut();
    for endpoint_change in endpoint_changes {
        balancer.apply(endpoint_change);
    }
}

/// Periodically drops expired endpoints and connections, and adjusts this instance's share of the
/// limits to the size of the fleet.
pub(super) async fn run_maintenance<A: PlatformAdapter, C: Clock>(node: Rc<NodeState<A, C>>) {
    loop {
        tokio::time::sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
        let now = node.clock.now();
        let expired = node.catalog.take_expired();
        if !expired.is_empty() {
            apply_endpoint_changes(&node, &expired);
            update_versions(&node);
        }
        share_limits(&node, now);
        node.endpoints.close_expired();
        node.balancer.borrow_mut().expire_zone_loads(now);
        node.crashes.borrow_mut().expire(now);
        node.crashing_parts.borrow_mut().expire(now);
        node.update_collector(now);
        update_gauges(&node, now);
    }
}

/// Sets this instance's share of the limits that all instances keep together.
fn share_limits<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>, now: Instant) {
    let members = node.members.borrow();
    let mut balancer = node.balancer.borrow_mut();
    balancer.set_instances(members.known_count());
    // An instance that does not know its peers yet would take the turns of all of them.
    if members.is_settled(now) {
        balancer.set_cold_turns(node.settings.address, members.serving_peers(now));
        balancer.set_endpoints_known();
    }
    node.quotas.borrow_mut().set_limit_share(members.rate_share(now));
}

/// Updates the gauges that show this instance's view of the system.
fn update_gauges<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>, now: Instant) {
    let version = node.catalog.configuration().map_or(0, |known| known.version().0);
    gauge!("almondroad_node_configuration_version").set(version as f64);
    gauge!("almondroad_node_store_steady").set(f64::from(u8::from(node.is_store_steady())));
    for topic in Topic::ALL {
        if let Some(confirmed_at) = node.follower(topic).confirmed_at() {
            let age_s = now.ms_since(confirmed_at) as f64 / 1000.0;
            gauge!("almondroad_node_store_read_age_seconds", "topic" => topic.to_string())
                .set(age_s);
        }
    }
    gauge!("almondroad_node_live_instances").set(node.members.borrow().live_count() as f64);
    gauge!("almondroad_node_endpoints").set(node.balancer.borrow().len() as f64);
    gauge!("almondroad_node_paced_endpoints").set(node.balancer.borrow().paced_count() as f64);
    gauge!("almondroad_node_requests_in_flight").set(f64::from(node.in_flight.get()));
}

/// Registers this instance, then reads the registry until that has succeeded once, and whenever no
/// peer is live.
pub(super) async fn run_discovery<A: PlatformAdapter, C: Clock>(node: Rc<NodeState<A, C>>) {
    let address = node.settings.address;
    while let Err(error) = node.store.register(address).await {
        log::info!(target: "fleet", error = error.to_string().as_str();
            "failed to register, retrying");
        tokio::time::sleep(Duration::from_millis(REGISTER_RETRY_MS)).await;
    }
    let mut needs_first_listing = true;
    loop {
        if needs_first_listing || node.members.borrow().live_count() == 1 {
            match node.store.list().await {
                Ok(addresses) => {
                    needs_first_listing = false;
                    let mut members = node.members.borrow_mut();
                    addresses.into_iter().for_each(|address| members.add(address));
                }
                Err(error) => log::info!(target: "fleet", error = error.to_string().as_str();
                    "failed to list instances"),
            }
        }
        tokio::time::sleep(Duration::from_millis(REGISTRY_POLL_MS)).await;
    }
}
