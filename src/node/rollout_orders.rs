//! Decides on roll-outs while this instance holds their lease, and stops a bad version here at once.

use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;

use crate::clock::{Clock, Instant};
use crate::node::rollout_decider::RolloutDecider;
use crate::node::{NodeState, PlatformAdapter};
use crate::rollout::{Judgement, RolloutOrder, RolloutPhase, RolloutState, Verdict};
use crate::units::ServiceId;

/// Interval between decisions.
const DECISION_INTERVAL_MS: u64 = 250;

/// Judges the versions that are rolled out and advances their roll-outs. Ends never; without
/// roll-outs in the settings it does nothing.
pub(super) async fn coordinate_rollouts<A: PlatformAdapter, C: Clock>(node: Rc<NodeState<A, C>>) {
    if node.rollouts.borrow().settings().is_none() {
        std::future::pending::<()>().await;
    }
    let holder = format!("{}/{:08x}", node.settings.address, rand::random::<u32>());
    let table = Rc::clone(&node.store);
    // The states are written conditionally, so a lease that has ended can be taken over at once.
    let mut decider = RolloutDecider::new(table, node.clock.clone(), holder.into(), 0);
    loop {
        tokio::time::sleep(Duration::from_millis(DECISION_INTERVAL_MS)).await;
        let now = node.clock.now();
        node.rollouts.borrow_mut().expire_holds(now);
        let running = node.rollouts.borrow().running();
        let judgements = running.into_iter().filter_map(|service| judge(&node, service));
        let judgements: Vec<(RolloutOrder, u64, Judgement)> = judgements.collect();
        let is_coordinator =
            node.is_ready() && node.members.borrow().is_coordinator(node.is_store_steady());
        if judgements.is_empty() || !is_coordinator {
            continue;
        }
        if let Err(error) = decider.acquire().await {
            log::debug!(target: "rollout", error = error.to_string().as_str();
                "lease on roll-outs not acquired");
            continue;
        }
        for (order, version, judgement) in judgements {
            advance(&node, &mut decider, &order, version, &judgement).await;
        }
    }
}

/// Judges a version by the answers that are known here. A bad one gets nothing more from this
/// instance, even if no instance decides at the moment.
fn judge<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    service: ServiceId,
) -> Option<(RolloutOrder, u64, Judgement)> {
    let versions = node.balancer.borrow().versions(&service);
    let mut rollouts = node.rollouts.borrow_mut();
    let rollout = rollouts.rollout_mut(&service)?;
    let endpoints = versions.get(&rollout.order.target).copied().unwrap_or(0);
    let was_suspended = rollout.is_suspended();
    let judgement = rollout.judge(endpoints);
    if rollout.is_suspended() && !was_suspended {
        log::warn!(target: "rollout", service = service.as_str(),
            target_version = rollout.order.target.as_str(), answers = judgement.answers,
            bad = judgement.bad, route = judgement.route, evidence = judgement.evidence;
            "version found bad");
    }
    Some((rollout.order.clone(), rollout.order_version, judgement))
}

async fn advance<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    decider: &mut RolloutDecider<A::Store, C>,
    order: &RolloutOrder,
    order_version: u64,
    judgement: &Judgement,
) {
    let service = &order.service;
    let is_moved = |_: &RolloutState| is_moved_everywhere(node, order, node.clock.now());
    let state = decider.advance(order, order_version, judgement.verdict, is_moved).await;
    let state = match state {
        Ok(Some(state)) => state,
        Ok(None) => return,
        Err(error) => {
            log::info!(target: "rollout", service = service.as_str(),
                error = error.to_string().as_str(); "roll-out not advanced");
            return;
        }
    };
    let now = node.clock.now();
    let mut rollouts = node.rollouts.borrow_mut();
    if rollouts.apply_state(service, &state, now) {
        log_step(service, &state, Some(judgement));
    }
    if let (true, Some(rollout)) = (decider.is_holder(), rollouts.rollout_mut(service)) {
        rollout.confirm(now);
    }
}

fn is_moved_everywhere<A: PlatformAdapter, C: Clock>(
    node: &NodeState<A, C>,
    order: &RolloutOrder,
    now: Instant,
) -> bool {
    let old_requests = node.balancer.borrow().local_requests_except(&order.service, &order.target);
    let members = node.members.borrow();
    let peers = members.serving_peers(now).map(std::net::IpAddr::V4);
    let rollouts = node.rollouts.borrow();
    let rollout = rollouts.rollout(&order.service);
    rollout.is_some_and(|rollout| rollout.is_moved_everywhere(old_requests, peers, now))
}

/// Logs a step that has become known here, with the counts of the instance that decided on it.
pub(super) fn log_step(service: &ServiceId, state: &RolloutState, judgement: Option<&Judgement>) {
    let phase = match state.phase {
        RolloutPhase::Observing { .. } => "observing",
        RolloutPhase::Moving => "moving",
        RolloutPhase::Succeeded => "succeeded",
        RolloutPhase::RolledBack => "rolled_back",
    };
    let allowance_percent = match state.phase {
        RolloutPhase::Observing { allowance_percent } => allowance_percent,
        _ => 0,
    };
    gauge!("almondroad_node_rollout_step", "service" => service.to_string())
        .set(f64::from(state.step));
    match judgement {
        Some(judgement) => {
            let verdict = match judgement.verdict {
                Verdict::Undecided => "undecided",
                Verdict::Good => "good",
                Verdict::Bad => "bad",
            };
            log::info!(target: "rollout", service = service.as_str(),
                target_version = state.target.as_str(), order = state.order, step = state.step,
                phase = phase, allowance_percent = allowance_percent, verdict = verdict,
                answers = judgement.answers, bad = judgement.bad, route = judgement.route,
                evidence = judgement.evidence; "roll-out step decided");
        }
        None => log::info!(target: "rollout", service = service.as_str(),
            target_version = state.target.as_str(), order = state.order, step = state.step,
            phase = phase, allowance_percent = allowance_percent; "roll-out step learned"),
    }
}
