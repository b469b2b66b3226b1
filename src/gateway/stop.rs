//! Planned stop of a gateway instance.

use std::time::Duration;

use crate::gateway::RunningGateway;
use crate::gateway::handover::hand_over_all;
use crate::gateway::start::register;
use crate::store::ListedState;

/// Time for peers to learn from heartbeats that this instance is leaving.
const LEAVING_PROPAGATION_MS: u64 = 1_500;
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Stops an instance without interrupting a request: leaves the responses of `/v1/addresses`, waits
/// until cached ones have expired, closes idle connections, completes running requests, and hands
/// over its leases and tokens.
pub async fn stop(running: RunningGateway) {
    let RunningGateway { node, server, tasks, .. } = running;
    log::info!(target: "gateway", "planned stop started");
    node.membership.set_leaving();
    node.leases.leave();
    register(&node, ListedState::Leaving).await;
    let drain_ms = node.settings.addresses_ttl_ms + LEAVING_PROPAGATION_MS;
    tokio::time::sleep(Duration::from_millis(drain_ms)).await;
    node.shutdown.send_replace(true);
    if server.await.is_err() {
        log::error!(target: "gateway", "server ended abnormally");
    }
    while node.in_flight.count() > 0 {
        tokio::time::sleep(POLL_PERIOD).await;
    }
    node.allowances.return_all().await;
    hand_over_all(&node).await;
    drop(tasks);
    log::info!(target: "gateway", "planned stop finished");
}
