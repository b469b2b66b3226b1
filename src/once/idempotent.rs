use std::rc::Rc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use smol_str::SmolStr;

use crate::gateway::Node;
use crate::http::{HttpClient, HttpError};
use crate::once::{PlainRequest, PlainResponse, forward};
use crate::serve::{Outcome, ServeError};

/// Timeout of one attempt. When it expires, the pooled connections to the endpoint are dropped.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum number of attempts that may have reached a service.
const MAX_SENT_ATTEMPTS: usize = 3;
/// Maximum number of passes over the service's endpoints.
const MAX_ROUNDS: usize = 3;

/// Makes a call that may run more than once: it is retried when an attempt fails, and hedged when
/// an attempt takes longer than the 95th percentile of the service. The first response wins. After
/// an attempt that could not connect the next endpoint is always tried, since the service did no
/// work.
pub async fn call_idempotent(
    node: &Rc<Node>,
    service: &SmolStr,
    request: &PlainRequest,
) -> Result<PlainResponse, ServeError> {
    let clients = node.service_latency.order_by_health(node.plain_clients(service));
    let mut next_clients = clients.iter().cycle().take(clients.len() * MAX_ROUNDS);
    let Some(first) = next_clients.next() else {
        return Err(ServeError::ServiceUnavailable { outcome: Outcome::NotRun });
    };
    node.retry_budget.record_request();
    let hedge_delay = node.service_latency.hedge_delay(service);
    let mut sent = 1;
    let mut may_have_run = false;
    let mut attempts = FuturesUnordered::new();
    attempts.push(send_attempt(node, service, first, request));
    loop {
        let hedge = tokio::time::sleep(hedge_delay);
        let is_unsent = tokio::select! {
            Some(result) = attempts.next() => match result {
                Ok(response) => return Ok(response),
                Err(error) => error.is_unsent(),
            },
            () = hedge, if !attempts.is_empty() => {
                if sent < MAX_SENT_ATTEMPTS
                    && node.retry_budget.try_take_retry()
                    && let Some(client) = next_clients.next()
                {
                    sent += 1;
                    attempts.push(send_attempt(node, service, client, request));
                }
                continue;
            }
        };
        may_have_run |= !is_unsent;
        let may_retry =
            is_unsent || (sent < MAX_SENT_ATTEMPTS && node.retry_budget.try_take_retry());
        if may_retry && let Some(client) = next_clients.next() {
            sent += usize::from(!is_unsent);
            attempts.push(send_attempt(node, service, client, request));
        } else if attempts.is_empty() {
            let outcome = if may_have_run { Outcome::Unknown } else { Outcome::NotRun };
            return Err(ServeError::ServiceUnavailable { outcome });
        }
    }
}

async fn send_attempt(
    node: &Node,
    service: &SmolStr,
    client: &HttpClient,
    request: &PlainRequest,
) -> Result<PlainResponse, HttpError> {
    let started_at = tokio::time::Instant::now();
    let result = forward(client, request, ATTEMPT_TIMEOUT).await;
    match &result {
        Ok(_) => node.service_latency.record(service, started_at.elapsed()),
        Err(error) => {
            log::debug!(target: "once", "attempt failed: {error}");
            node.service_latency.record_failure(client.address());
            if matches!(error, HttpError::Timeout { .. }) {
                client.reset();
            }
        }
    }
    result
}
