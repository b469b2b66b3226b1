use std::rc::Rc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use smol_str::SmolStr;

use crate::gateway::Node;
use crate::http::{HttpClient, HttpError};
use crate::once::{PlainAnswer, PlainRequest, forward};
use crate::serve::{CallError, Outcome};

/// Longest time of one attempt; a connection that stays silent longer is given up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_000);
const MAX_ATTEMPTS: usize = 3;

/// Makes a call that may be repeated: retried when an attempt fails and hedged when it takes
/// longer than the service's 95th percentile. The first answer counts.
pub async fn call_idempotent(
    node: &Rc<Node>,
    service: &SmolStr,
    request: &PlainRequest,
) -> Result<PlainAnswer, CallError> {
    let clients = node.plain_clients(service);
    let mut next_clients = clients.iter().cycle().take(MAX_ATTEMPTS);
    let Some(first) = next_clients.next() else {
        return Err(CallError::ServiceUnavailable { outcome: Outcome::NotRun });
    };
    node.retry_budget.note_request();
    let hedge_delay = node.service_latency.hedge_delay(service);
    let mut was_sent = false;
    let mut attempts = FuturesUnordered::new();
    attempts.push(attempt(node, service, first, request));
    loop {
        let hedge = tokio::time::sleep(hedge_delay);
        let failed = tokio::select! {
            Some(ended) = attempts.next() => match ended {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    was_sent |= !error.is_unsent();
                    true
                }
            },
            () = hedge => false,
        };
        if let Some(client) = next_clients.next()
            && node.retry_budget.take_retry()
        {
            attempts.push(attempt(node, service, client, request));
        } else if attempts.is_empty() && failed {
            let outcome = if was_sent { Outcome::Unknown } else { Outcome::NotRun };
            return Err(CallError::ServiceUnavailable { outcome });
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
        Err(HttpError::Timeout { .. }) => client.reset(),
        Err(error) => log::debug!(target: "once", "attempt failed: {error}"),
    }
    ended
}
