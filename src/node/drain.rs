//! Graceful shutdown of an instance.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::Clock;
use crate::fleet::{HeartbeatExchange, InstanceRegistry};
use crate::node::{NodeState, PlatformAdapter};

/// Minimum time during which callers that cached this instance's address are still served.
const MIN_ACCEPT_MS: u64 = 1_500;
/// Time without a request after which no further callers are expected.
const IDLE_MS: u64 = 700;
/// Maximum time during which new requests are accepted, absolute and as a fraction of the grace
/// time. Requests accepted more than 3 s after the signal must not be aborted at the end of the
/// grace time, and a generation takes many seconds.
const MAX_ACCEPT_MS: u64 = 2_500;
const MAX_ACCEPT_FRACTION: f64 = 0.6;
/// Time before the end of the grace time at which requests still running are aborted.
const ABORT_MARGIN_MS: u64 = 250;
/// Time for the last answers to reach the callers of aborted requests.
const LAST_ANSWER_MS: u64 = 100;
const CHECK_INTERVAL_MS: u64 = 50;

/// Shuts an instance down: stops advertising it to callers, keeps accepting requests for a while
/// from those that cached its address, and waits for running requests to finish.
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
    let accept_ms = MAX_ACCEPT_MS.min((grace_ms as f64 * MAX_ACCEPT_FRACTION) as u64);
    let accept_deadline = started_at.plus_ms(accept_ms);
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now = node.clock.now();
        let is_idle = now.ms_since(node.last_request_at.get()) > IDLE_MS;
        let is_min_accept_over = now.ms_since(started_at) > MIN_ACCEPT_MS;
        if now > accept_deadline || (is_min_accept_over && is_idle) {
            break;
        }
    }
    node.forwarder.close();
    shutdown.send_replace(true);
    let unregister = node.store.unregister(node.settings.address);
    match tokio::time::timeout(Duration::from_millis(300), unregister).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::info!(target: "node", error = error.to_string().as_str();
            "failed to unregister"),
        Err(_) => log::info!(target: "node", "unregistering timed out"),
    }
    let abort_at = started_at.plus_ms(grace_ms.saturating_sub(ABORT_MARGIN_MS));
    let time_left = abort_at.remaining(node.clock.now());
    tokio::pin!(listeners_ended);
    let have_all_ended = tokio::time::timeout(time_left, &mut listeners_ended).await.is_ok();
    if !have_all_ended {
        node.grace_ended.notify_waiters();
        let limit = Duration::from_millis(LAST_ANSWER_MS);
        // Streams that have begun are broken off by the end of the process.
        let _ = tokio::time::timeout(limit, listeners_ended).await;
    }
    log::info!(target: "node", in_flight = node.in_flight.get(), all_ended = have_all_ended;
        "stopped");
}
