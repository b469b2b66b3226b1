use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::Clock;
use crate::fleet::{HeartbeatExchange, InstanceRegistry};
use crate::node::{NodeState, PlatformAdapter};

/// Shortest time for which callers that kept an address are still served.
const MIN_SERVE_MS: u64 = 1_500;
/// Time without a request after which no caller is expected any more.
const QUIET_MS: u64 = 700;
/// Longest time for which new requests are taken, and the part of the grace time that it may be.
/// What is taken later than 3 s after the signal may not be cut at the end of the grace time, and a
/// generation takes many seconds.
const MAX_SERVE_MS: u64 = 2_500;
const SERVE_PART: f64 = 0.6;
/// Time before the end of the grace time at which what still runs is broken off.
const LAST_MS: u64 = 250;
const LOOK_MS: u64 = 50;

/// Stops an instance: callers are sent elsewhere, those that kept the address are served for a
/// while, and running requests end.
pub(super) async fn drain<A: PlatformAdapter, C: Clock>(
    node: &Rc<NodeState<A, C>>,
    exchange: &HeartbeatExchange<C>,
    shutdown: watch::Sender<bool>,
    listeners_ended: impl Future<Output = ()>,
) {
    let started_at = node.clock.now();
    let grace_ms = (node.settings.grace_s * 1000.0) as u64;
    node.is_leaving.set(true);
    log::info!(target: "node", in_flight = node.in_flight.get(), grace_ms = grace_ms; "leaving");
    exchange.send_round(node.as_ref()).await;
    let serve_ms = MAX_SERVE_MS.min((grace_ms as f64 * SERVE_PART) as u64);
    let accept_until = started_at.plus_ms(serve_ms);
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let now = node.clock.now();
        let is_quiet = now.ms_since(node.last_request_at.get()) > QUIET_MS;
        let has_served = now.ms_since(started_at) > MIN_SERVE_MS;
        if now > accept_until || (has_served && is_quiet) {
            break;
        }
    }
    shutdown.send_replace(true);
    let unregister = node.store.unregister(node.settings.address);
    match tokio::time::timeout(Duration::from_millis(300), unregister).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::info!(target: "node", error = error.to_string().as_str();
            "not removed from the registry"),
        Err(_) => log::info!(target: "node", "not removed from the registry in time"),
    }
    let last = started_at.plus_ms(grace_ms.saturating_sub(LAST_MS));
    let left = last.remaining(node.clock.now());
    let has_ended = tokio::time::timeout(left, listeners_ended).await.is_ok();
    log::info!(target: "node", in_flight = node.in_flight.get(), all_ended = has_ended; "stopped");
}
