//! Role orders to engines, given by the instance that holds the order lease.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use metrics::counter;

use crate::catalog::{Endpoint, EngineProperties};
use crate::clock::{Clock, Instant};
use crate::forward::{Codec, EndpointError};
use crate::node::{NodeState, PlatformAdapter};
use crate::roles::{
    OrderLease, OrderResponse, PoolSample, PoolUsage, RoleChange, RoleOrder, plan_role_changes,
};
use crate::units::ServiceId;

/// Interval between samples of the engines' utilisation.
const SAMPLE_INTERVAL_MS: u64 = 250;
/// Timeout of a report request or an order to an engine.
const CALL_TIMEOUT_MS: u64 = 700;
/// Time beyond the role change itself for which an engine that was sent an order counts as
/// changing. Covers the generations that it finishes first, and orders that are carried out late.
const ROLE_CHANGE_MARGIN_MS: u64 = 10_000;
/// Pause after a round without an order, for example while another instance holds the lease. Also
/// added to the pause after a round with orders.
const ROUND_PAUSE_MS: u64 = 3_000;

/// Samples the utilisation of the engines and orders role changes when they improve service. A
/// lease lets one instance at a time do so. While no instance holds it, the roles stay as they are
/// and requests are routed as usual.
pub(super) async fn coordinate_roles<A: PlatformAdapter, C: Clock>(node: Rc<NodeState<A, C>>) {
    let holder = format!("{}/{:08x}", node.settings.address, rand::random::<u32>());
    let takeover_delay_ms = node.settings.order_turn_ms;
    let table = Rc::clone(&node.store);
    let mut lease = OrderLease::new(table, node.clock.clone(), holder.into(), takeover_delay_ms);
    let mut pool_usages: HashMap<ServiceId, PoolUsage> = HashMap::new();
    let mut next_round_at = Instant::default();
    loop {
        tokio::time::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
        let now = node.clock.now();
        if !node.members.borrow().is_coordinator_candidate() {
            // Averages with a gap would follow the first sample after it alone.
            pool_usages.clear();
            continue;
        }
        let Some(configuration) = node.catalog.configuration() else { continue };
        let mut round = Vec::new();
        for service in configuration.services() {
            let Some(engine) = service.engine else { continue };
            let pool_usage = pool_usages.entry(service.id.clone()).or_default();
            let changes = sample_and_plan(&node, &service.id, &engine, pool_usage, now);
            round.extend(changes.into_iter().map(|change| (change, engine)));
        }
        if round.is_empty() || now < next_round_at || !should_acquire_lease(&node) {
            continue;
        }
        let was_any_sent = run_round(&node, &mut lease, &round).await;
        let pause_ms = if was_any_sent { settling_ms(&round) } else { ROUND_PAUSE_MS };
        next_round_at = node.clock.now().plus_ms(pause_ms);
        pool_usages.values_mut().for_each(PoolUsage::reset);
    }
}

/// Whether this instance should try to acquire the lease. Only the coordinator does, which saves
/// calls to the store; the lease excludes all but one if several consider themselves coordinator.
fn should_acquire_lease<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>) -> bool {
    node.is_ready() && node.members.borrow().is_coordinator(node.is_store_steady())
}

/// Sends the orders of a round. Returns whether any engine may carry one out.
async fn run_round<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    lease: &mut OrderLease<A::Store, C>,
    round: &[(RoleChange, EngineProperties)],
) -> bool {
    let mut was_any_sent = false;
    for (change, engine) in round {
        if let Err(error) = lease.acquire().await {
            log::info!(target: "roles", error = error.to_string().as_str();
                "order lease not acquired");
            break;
        }
        was_any_sent |= order_role_change(node, lease, change, engine).await;
    }
    was_any_sent
}

/// Time after a round until its role changes are visible in the samples.
fn settling_ms(round: &[(RoleChange, EngineProperties)]) -> u64 {
    round.iter().map(|(_, engine)| engine.role_change_ms).max().unwrap_or(0) + ROUND_PAUSE_MS
}

/// Adds a sample of a service's engines and returns the role changes that it suggests.
fn sample_and_plan<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    service: &ServiceId,
    engine: &EngineProperties,
    pool_usage: &mut PoolUsage,
    now: Instant,
) -> Vec<RoleChange> {
    let balancer = node.balancer.borrow();
    let sample = PoolSample::new(balancer.in_service(service, now), engine.kv_capacity, now);
    pool_usage.add_sample(&sample, now);
    plan_role_changes(balancer.in_service(service, now), &sample, pool_usage, now)
}

/// Orders one engine to change its role. Returns whether the engine may carry the order out.
async fn order_role_change<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    lease: &mut OrderLease<A::Store, C>,
    change: &RoleChange,
    engine: &EngineProperties,
) -> bool {
    let endpoint = &change.endpoint;
    let Some(report) = read_report(node, endpoint).await else { return false };
    if report.is_changing || report.role == change.role {
        return false;
    }
    if !node.balancer.borrow().may_receive(endpoint, node.clock.now()) {
        return false;
    }
    // The lease may have expired while the report was read.
    let Some(token) = lease.token() else { return false };
    let order = RoleOrder {
        role: change.role,
        owner: lease.holder().clone(),
        token,
        accepted_orders: report.accepted_orders,
    };
    let codec = node.forwarder.codec();
    let Some(request) = codec.order_request(endpoint, &order) else {
        log::warn!(target: "roles", endpoint = endpoint.id.as_str();
            "role order cannot be encoded");
        return false;
    };
    let answer = call_engine(node, endpoint, request).await;
    let answer = answer.map(|(status, _)| codec.read_order_response(status));
    log::info!(target: "roles", endpoint = endpoint.id.as_str(), zone = endpoint.zone.as_str(),
        role = format!("{:?}", change.role).as_str(), token = token.0,
        answer = format!("{answer:?}").as_str(); "role change ordered");
    counter!("almondroad_node_role_orders_total").increment(1);
    if matches!(answer, Ok(OrderResponse::Fenced)) {
        lease.invalidate();
    }
    // An unanswered order may still be carried out later.
    let may_change = match &answer {
        Ok(response) => *response == OrderResponse::Accepted,
        Err(error) => error.may_have_arrived(),
    };
    if may_change {
        let until = node.clock.now().plus_ms(engine.role_change_ms + ROLE_CHANGE_MARGIN_MS);
        if let Some(state) = node.balancer.borrow_mut().endpoint_mut(&endpoint.id) {
            state.role_change_until = until;
        }
    }
    may_change
}

async fn read_report<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    endpoint: &Endpoint,
) -> Option<crate::roles::EngineReport> {
    let codec = node.forwarder.codec();
    let request = codec.report_request(endpoint)?;
    match call_engine(node, endpoint, request).await {
        Ok((StatusCode::OK, body)) => {
            let report = codec.read_report(&body);
            if report.is_none() {
                log::warn!(target: "roles", endpoint = endpoint.id.as_str();
                    "malformed engine report");
            }
            report
        }
        Ok((status, _)) => {
            log::info!(target: "roles", endpoint = endpoint.id.as_str(),
                status = status.as_u16(); "engine report unavailable");
            None
        }
        Err(error) => {
            log::info!(target: "roles", endpoint = endpoint.id.as_str(),
                error = error.to_string().as_str(); "engine report unavailable");
            None
        }
    }
}

/// Sends a request to an engine and reads the whole response.
async fn call_engine<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    endpoint: &Endpoint,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), EndpointError> {
    let limit = Duration::from_millis(CALL_TIMEOUT_MS);
    let result = node.endpoints.call_on_new_connection(endpoint, request, limit).await;
    if matches!(result, Err(EndpointError::Timeout)) {
        node.endpoints.close_idle(endpoint.address);
    }
    result
}
