use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use metrics::counter;

use crate::catalog::{Endpoint, EngineTraits};
use crate::clock::{Clock, Instant};
use crate::forward::{Codec, EndpointError};
use crate::node::{NodeState, PlatformAdapter};
use crate::roles::{
    OrderAnswer, OrderLease, PoolSample, PoolUse, RoleChange, RoleOrder, plan_roles,
};
use crate::units::ServiceId;

/// Pause between samples of what the engines do.
const SAMPLE_MS: u64 = 250;
/// Time for an engine to answer a report or an order.
const CALL_MS: u64 = 700;
/// Time beyond the change itself for which an engine that was sent an order is left alone. Covers
/// the generations that it ends first, and orders that are carried out late.
const SETTLE_MS: u64 = 10_000;
/// Pause after a round that gave no order, as when another instance holds the lease.
const FAILED_ROUND_MS: u64 = 3_000;

/// Watches what the engines are used for, and orders some to change their role when that serves
/// callers better. One instance does so at a time; if none does, requests are placed as before.
pub(super) async fn give_role_orders<A: PlatformAdapter, C: Clock>(node: Rc<NodeState<A, C>>) {
    let holder = format!("{}/{:08x}", node.settings.address, rand::random::<u32>());
    let turn_ms = node.settings.order_turn_ms;
    let table = Rc::clone(&node.store);
    let mut lease = OrderLease::new(table, node.clock.clone(), holder.into(), turn_ms);
    let mut uses: HashMap<ServiceId, PoolUse> = HashMap::new();
    let mut next_round = Instant::default();
    loop {
        tokio::time::sleep(Duration::from_millis(SAMPLE_MS)).await;
        let now = node.clock.now();
        let Some(configuration) = node.catalog.configuration() else { continue };
        let mut round = Vec::new();
        for service in configuration.services() {
            let Some(engine) = service.engine else { continue };
            let pool_use = uses.entry(service.id.clone()).or_default();
            let changes = sample_and_plan(&node, &service.id, &engine, pool_use, now);
            round.extend(changes.into_iter().map(|change| (change, engine)));
        }
        if round.is_empty() || now < next_round || !is_order_giver(&node) {
            continue;
        }
        let is_any_sent = run_round(&node, &mut lease, &round).await;
        let pause_ms = if is_any_sent { settle_ms(&round) } else { FAILED_ROUND_MS };
        next_round = node.clock.now().plus_ms(pause_ms);
        uses.values_mut().for_each(PoolUse::restart);
    }
}

/// Whether this instance is the one to try for the lease. Sparing the others saves calls to the
/// store; the lease keeps two that both think so apart.
fn is_order_giver<A: PlatformAdapter, C: Clock>(node: &NodeState<A, C>) -> bool {
    node.is_ready() && node.members.borrow().is_first(node.is_store_steady())
}

/// Gives the orders of a round. Returns whether any engine may carry one out.
async fn run_round<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    lease: &mut OrderLease<A::Store, C>,
    round: &[(RoleChange, EngineTraits)],
) -> bool {
    let mut is_any_sent = false;
    for (change, engine) in round {
        if let Err(error) = lease.acquire().await {
            log::info!(target: "roles", error = error.to_string().as_str(); "no lease for orders");
            break;
        }
        is_any_sent |= change_role(node, lease, change, engine).await;
    }
    is_any_sent
}

/// Time after a round in which its changes show in the figures.
fn settle_ms(round: &[(RoleChange, EngineTraits)]) -> u64 {
    round.iter().map(|(_, engine)| engine.role_change_ms).max().unwrap_or(0) + FAILED_ROUND_MS
}

fn sample_and_plan<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    service: &ServiceId,
    engine: &EngineTraits,
    pool_use: &mut PoolUse,
    now: Instant,
) -> Vec<RoleChange> {
    let balancer = node.balancer.borrow();
    let sample = PoolSample::new(balancer.in_service(service, now), engine.kv_capacity, now);
    pool_use.note(&sample, now);
    plan_roles(balancer.in_service(service, now), &sample, pool_use, now)
}

/// Orders one engine to change. Returns whether the engine may carry it out.
async fn change_role<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    lease: &mut OrderLease<A::Store, C>,
    change: &RoleChange,
    engine: &EngineTraits,
) -> bool {
    let endpoint = &change.endpoint;
    let Some(report) = read_report(node, endpoint).await else { return false };
    if report.is_changing || report.role == change.role {
        return false;
    }
    // The lease may have ended while the report was read.
    let Some(token) = lease.token() else { return false };
    let order = RoleOrder {
        role: change.role,
        owner: lease.holder().clone(),
        token,
        accepted_orders: report.accepted_orders,
    };
    let codec = node.forwarder.codec();
    let Some(request) = codec.order_request(endpoint, &order) else {
        log::warn!(target: "roles", endpoint = endpoint.id.as_str(); "order cannot be written");
        return false;
    };
    let answer = call(node, endpoint, request).await;
    let answer = answer.map(|(status, _)| codec.read_order_response(status));
    log::info!(target: "roles", endpoint = endpoint.id.as_str(), zone = endpoint.zone.as_str(),
        role = format!("{:?}", change.role).as_str(), token = token.0,
        answer = format!("{answer:?}").as_str(); "role change ordered");
    counter!("almondroad_node_role_orders_total").increment(1);
    if matches!(answer, Ok(OrderAnswer::Fenced)) {
        lease.forget();
    }
    // An order without an answer may be carried out later.
    let may_change = matches!(answer, Ok(OrderAnswer::Accepted) | Err(_));
    if may_change {
        let until = node.clock.now().plus_ms(engine.role_change_ms + SETTLE_MS);
        if let Some(state) = node.balancer.borrow_mut().endpoint_mut(&endpoint.id) {
            state.changing_until = until;
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
    match call(node, endpoint, request).await {
        Ok((StatusCode::OK, body)) => {
            let report = codec.read_report(&body);
            if report.is_none() {
                log::warn!(target: "roles", endpoint = endpoint.id.as_str(); "malformed report");
            }
            report
        }
        Ok((status, _)) => {
            log::info!(target: "roles", endpoint = endpoint.id.as_str(),
                status = status.as_u16(); "no report");
            None
        }
        Err(error) => {
            log::info!(target: "roles", endpoint = endpoint.id.as_str(),
                error = error.to_string().as_str(); "no report");
            None
        }
    }
}

async fn call<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    endpoint: &Endpoint,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), EndpointError> {
    let exchange = async {
        let (connection, response) = node.connections.send(endpoint.address, request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await;
        let body =
            body.map_err(|error| EndpointError::Broken { reason: error.to_string().into() })?;
        node.connections.put_idle(connection, &head.headers);
        Ok((head.status, body.to_bytes()))
    };
    let limit = Duration::from_millis(CALL_MS);
    let result = tokio::time::timeout(limit, exchange).await.map_err(|_| EndpointError::Timeout);
    if result.is_err() {
        node.connections.close_idle(endpoint.address);
    }
    result?
}
