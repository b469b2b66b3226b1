//! Runs a request over one or more attempts.

use std::rc::Rc;

use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::budget::Charge;
use crate::clock::{BootClock, Clock};
use crate::gateway::Node;
use crate::route::{self, Admitted};
use crate::serve::attempt::{Attempt, AttemptError, RequestProgress};
use crate::serve::suspicion_broadcast::broadcast_suspicions;
use crate::serve::{CompletionCall, RunEvent, ServeError};
use crate::suspect::Suspects;
use crate::units::{AttemptId, EndpointId};

/// Maximum consecutive attempts of a request without a new token, resumptions included.
const MAX_ATTEMPTS: u32 = 4;
/// A prompt is refused once this many endpoints have died while running it.
pub const MAX_CRASHES: u32 = Suspects::<BootClock>::REFUSED_CRASHES;

/// Runs a request until it completes, fails or its caller disconnects. After a failed attempt,
/// resumes it on another endpoint at the next token. Returns whether the caller received the
/// complete response.
pub async fn run(
    node: Rc<Node>,
    call: Rc<CompletionCall>,
    charge: GatewayCharge,
    events: mpsc::Sender<RunEvent>,
) -> bool {
    let mut progress = RequestProgress::default();
    let started_at = node.clock.now();
    let ended = tokio::select! {
        ended = attempt_until_done(&node, &call, &charge, &mut progress, &events) => Some(ended),
        () = events.closed() => None,
    };
    charge.settle(progress.used_tokens());
    node.metrics.record_request_end(&call, &progress, started_at, ended.as_ref());
    match ended {
        // The caller has disconnected; dropping the attempt has released its resources.
        None => false,
        Some(Ok(finish_reason)) => {
            let done = RunEvent::Done {
                finish_reason,
                prompt_tokens: progress.prompt_tokens,
                output_tokens: progress.output_tokens(),
            };
            events.send(done).await.is_ok()
        }
        Some(Err(error)) => {
            let _ = events.send(RunEvent::Failed(error)).await;
            false
        }
    }
}

/// Charge of a request against the budgets of this instance.
pub type GatewayCharge = Charge;

async fn attempt_until_done(
    node: &Rc<Node>,
    call: &Rc<CompletionCall>,
    charge: &GatewayCharge,
    progress: &mut RequestProgress,
    events: &mpsc::Sender<RunEvent>,
) -> Result<SmolStr, ServeError> {
    let mut avoid: Vec<EndpointId> = Vec::new();
    let mut attempts = 0;
    loop {
        attempts += 1;
        let first_index = progress.tokens.len();
        let id = node.running_attempts.next_id();
        let admitted = match attempts {
            1 if first_index == 0 => route::admit(node, call, &id, &avoid, progress).await?,
            _ => readmit(node, call, &id, &mut avoid, progress).await?,
        };
        let attempt = Attempt::new(Rc::clone(node), id, admitted, Rc::clone(call));
        let ended = attempt.run(progress, charge, events).await;
        charge.set_used(progress.used_tokens());
        let error = match ended {
            Ok(finish_reason) => {
                attempt.finish(progress, Ok(())).await;
                return Ok(finish_reason);
            }
            Err(error) => error,
        };
        log::debug!(target: "serve", "attempt {} ended: {error:?}", attempt.id());
        let crashes = attempt.finish(progress, Err(&error)).await;
        if matches!(error, AttemptError::Endpoint { died: true, .. }) {
            broadcast_suspicions(node).await;
        }
        let outcome = progress.outcome();
        match error {
            AttemptError::CallerDisconnected => return Err(ServeError::EngineFailed { outcome }),
            AttemptError::DeadlinePassed => return Err(ServeError::DeadlinePassed { outcome }),
            AttemptError::Endpoint { endpoint, .. } => avoid.push(endpoint),
        }
        if crashes >= MAX_CRASHES {
            return Err(ServeError::CrashesEndpoints { outcome });
        }
        if progress.tokens.len() > first_index {
            attempts = 0;
        }
        // A stream that has begun is always resumed: a caller that retried it would receive its
        // tokens twice.
        let may_retry = !progress.tokens.is_empty() || node.retry_budget.try_take_retry();
        if attempts >= MAX_ATTEMPTS || !may_retry {
            return Err(ServeError::EngineFailed { outcome });
        }
    }
}

/// Admits a request again after a failed attempt. The queue time starts anew, since the first
/// attempt may have used it up. Failed endpoints are avoided only while others have capacity, and a
/// stream that has begun may queue until the request's deadline.
async fn readmit(
    node: &Rc<Node>,
    call: &Rc<CompletionCall>,
    id: &AttemptId,
    avoid: &mut Vec<EndpointId>,
    progress: &RequestProgress,
) -> Result<Admitted, ServeError> {
    let queue_deadline = || node.clock.now().plus_ms(node.settings.interactive_queue_ms);
    let retried_call = call.with_queue_deadline(queue_deadline());
    match route::admit(node, &retried_call, id, avoid, progress).await {
        Err(ServeError::NoEndpoint { .. } | ServeError::NoCapacity { .. }) => {}
        admitted => return admitted,
    }
    avoid.clear();
    let has_begun = !progress.tokens.is_empty();
    let retried_call =
        call.with_queue_deadline(if has_begun { call.deadline } else { queue_deadline() });
    route::admit(node, &retried_call, id, avoid, progress).await
}
