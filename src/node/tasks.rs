use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::fleet::InstanceRegistry;
use crate::node::{NodeState, PlatformAdapter};
use crate::replica::{RowChange, Topic};

/// Pause between looks at what has expired.
const UPKEEP_MS: u64 = 100;
/// Pause between attempts to register, and between looks at the registry while no peer is heard.
const REGISTER_RETRY_MS: u64 = 500;
const LONELY_LOOK_MS: u64 = 3_000;

/// Applies the changes of the store's tables as they arrive.
pub(super) async fn apply_changes<A: PlatformAdapter, C: Clock>(
    node: Rc<NodeState<A, C>>,
    mut changes: mpsc::UnboundedReceiver<(Topic, Vec<RowChange>)>,
) {
    while let Some((topic, rows)) = changes.recv().await {
        let follower = node.follower(topic);
        match topic {
            Topic::Operator => {
                node.catalog.apply_operator(&follower.replica(), &rows);
                apply_configuration(&node);
            }
            Topic::Endpoints => {
                let effects = node.catalog.apply_endpoints(&rows, follower.is_steady());
                apply_endpoint_changes(&node, &effects);
            }
        }
    }
}

fn apply_configuration<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>) {
    let mut balancer = node.balancer.borrow_mut();
    balancer.set_zones_out(node.catalog.zones_out());
    let Some(configuration) = node.catalog.configuration() else { return };
    for service in configuration.services() {
        balancer.set_cold_rate(service.id.clone(), service.cold_requests_per_s);
    }
    let now = node.clock.now();
    node.quotas.borrow_mut().set_customers(configuration.customers(), now);
}

fn apply_endpoint_changes<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    effects: &[crate::catalog::EndpointChange],
) {
    let mut balancer = node.balancer.borrow_mut();
    for effect in effects {
        balancer.apply(effect);
    }
}

/// Lets go of what has expired, and shares limits by the size of the fleet.
pub(super) async fn keep_up<A: PlatformAdapter, C: Clock>(node: Rc<NodeState<A, C>>) {
    loop {
        tokio::time::sleep(Duration::from_millis(UPKEEP_MS)).await;
        let now = node.clock.now();
        apply_endpoint_changes(&node, &node.catalog.take_lapsed());
        let (serving, share) = {
            let members = node.members.borrow();
            (members.serving_count(now), members.rate_share(now))
        };
        node.balancer.borrow_mut().set_instances(serving);
        node.quotas.borrow_mut().set_share(share);
        node.connections.close_expired();
        show_state(&node);
    }
}

/// Shows in the metrics what this instance believes.
fn show_state<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>) {
    let version = node.catalog.configuration().map_or(0, |known| known.version().0);
    gauge!("almondroad_node_configuration_version").set(version as f64);
    gauge!("almondroad_node_store_steady").set(f64::from(u8::from(node.is_store_steady())));
    gauge!("almondroad_node_live_instances").set(node.members.borrow().live_count() as f64);
    gauge!("almondroad_node_endpoints").set(node.balancer.borrow().len() as f64);
    gauge!("almondroad_node_requests_in_flight").set(f64::from(node.in_flight.get()));
}

/// Registers this instance and finds others.
pub(super) async fn discover<A: PlatformAdapter, C: Clock>(node: Rc<NodeState<A, C>>) {
    let address = node.settings.address;
    while let Err(error) = node.store.register(address).await {
        log::info!(target: "fleet", error = error.to_string().as_str(); "not registered yet");
        tokio::time::sleep(Duration::from_millis(REGISTER_RETRY_MS)).await;
    }
    let mut is_first = true;
    loop {
        if is_first || node.members.borrow().live_count() == 1 {
            match node.store.list().await {
                Ok(addresses) => {
                    is_first = false;
                    let mut members = node.members.borrow_mut();
                    addresses.into_iter().for_each(|address| members.add(address));
                }
                Err(error) => log::info!(target: "fleet", error = error.to_string().as_str();
                    "instances not listed"),
            }
        }
        tokio::time::sleep(Duration::from_millis(LONELY_LOOK_MS)).await;
    }
}
