use std::rc::Rc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use smol_str::SmolStr;

use crate::gateway::Node;
use crate::http::{HttpClient, HttpError};
use crate::once::{PlainAnswer, PlainRequest, forward};
use crate::serve::{Outcome, ServeError};

/// Longest time of one attempt; a connection that stays silent longer is given up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Attempts that may have reached a service.
const MAX_SENT: usize = 3;
/// Rounds over the service's endpoints.
const MAX_ROUNDS: usize = 3;

/// Makes a call that may be repeated: retried when an attempt fails and hedged when it takes
/// longer than the service's 95th percentile. The first answer counts. An attempt that found no
/// connection has cost the service nothing, so the next endpoint is tried in any case.
pub async fn call_idempotent(
    node: &Rc<Node>,
    service: &SmolStr,
    request: &PlainRequest,
) -> Result<PlainAnswer, ServeError> {
    let clients = node.service_latency.healthy_first(node.plain_clients(service));
    let mut next_clients = clients.iter().cycle().take(clients.len() * MAX_ROUNDS);
    let Some(first) = next_clients.next() else {
        return Err(ServeError::ServiceUnavailable { outcome: Outcome::NotRun });
    };
    node.retry_budget.record_request();
    let hedge_delay = node.service_latency.hedge_delay(service);
    let mut sent = 1;
    let mut may_have_run = false;
    let mut attempts = FuturesUnordered::new();
    attempts.push(attempt(node, service, first, request));
    loop {
        let hedge = tokio::time::sleep(hedge_delay);
        let is_unsent = tokio::select! {
            Some(ended) = attempts.next() => match ended {
                Ok(answer) => return Ok(answer),
                Err(error) => error.is_unsent(),
            },
            () = hedge, if !attempts.is_empty() => {
                if sent < MAX_SENT
                    && node.retry_budget.try_take_retry()
                    && let Some(client) = next_clients.next()
                {
                    sent += 1;
                    attempts.push(attempt(node, service, client, request));
                }
                continue;
            }
        };
        may_have_run |= !is_unsent;
        let may_retry = is_unsent || (sent < MAX_SENT && node.retry_budget.try_take_retry());
        if may_retry && let Some(client) = next_clients.next() {
            sent += usize::from(!is_unsent);
            attempts.push(attempt(node, service, client, request));
        } else if attempts.is_empty() {
            let outcome = if may_have_run { Outcome::Unknown } else { Outcome::NotRun };
            return Err(ServeError::ServiceUnavailable { outcome });
        }
    }
}

async fn attempt(
    node: &Node,
    service: &SmolStr,
    client: &HttpClient,
    request: &PlainRequest,
) -> Result<PlainAnswer, HttpError> {
    let started_at = tokio::time::Instant::now();
    let ended = forward(client, request, ATTEMPT_TIMEOUT).await;
    match &ended {
        Ok(_) => node.service_latency.note(service, started_at.elapsed()),
        Err(error) => {
            log::debug!(target: "once", "attempt failed: {error}");
            node.service_latency.note_failure(client.address());
            if matches!(error, HttpError::Timeout { .. }) {
                client.reset();
            }
        }
    }
    ended
}
