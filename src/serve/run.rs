use std::rc::Rc;

use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::budget::Charge;
use crate::clock::{BootClock, Clock};
use crate::gateway::Node;
use crate::route::{self, Admitted};
use crate::serve::attempt::{Attempt, AttemptError, Produced};
use crate::serve::spread::spread_suspicions;
use crate::serve::{Call, CallError, RunEvent};
use crate::suspect::Suspects;
use crate::units::{AttemptId, EndpointId};

/// Attempts of one request without progress, resumptions included.
const MAX_ATTEMPTS: u32 = 4;
/// Requests that were running on this many endpoints when those died are refused.
pub const MAX_CRASHES: u32 = Suspects::<BootClock>::REFUSED_CRASHES;

/// Runs a request until its answer is whole, its caller has gone or it has failed. Resumes it on
/// other endpoints at the token where it stopped.
/// Returns whether the caller got the whole answer.
pub async fn run(
    node: Rc<Node>,
    call: Rc<Call>,
    charge: GatewayCharge,
    events: mpsc::Sender<RunEvent>,
) -> bool {
    let mut produced = Produced::default();
    let started_at = node.clock.now();
    let ended = tokio::select! {
        ended = attempt_until_done(&node, &call, &charge, &mut produced, &events) => Some(ended),
        () = events.closed() => None,
    };
    charge.settle(produced.used_tokens());
    node.metrics.note_end(&call, &produced, started_at, ended.as_ref());
    match ended {
        // The caller has gone; the dropped attempt frees what it held.
        None => false,
        Some(Ok(finish_reason)) => {
            let done = RunEvent::Done {
                finish_reason,
                prompt_tokens: produced.prompt_tokens,
                output_tokens: produced.output_tokens(),
            };
            events.send(done).await.is_ok()
        }
        Some(Err(error)) => {
            let _ = events.send(RunEvent::Failed(error)).await;
            false
        }
    }
}

/// A charge of this instance's budgets.
pub type GatewayCharge = Charge;

async fn attempt_until_done(
    node: &Rc<Node>,
    call: &Rc<Call>,
    charge: &GatewayCharge,
    produced: &mut Produced,
    events: &mpsc::Sender<RunEvent>,
) -> Result<SmolStr, CallError> {
    let mut avoid: Vec<EndpointId> = Vec::new();
    let mut attempts = 0;
    loop {
        attempts += 1;
        let first_index = produced.tokens.len();
        let id = node.live.next_id();
        let admitted = match attempts {
            1 if first_index == 0 => route::admit(node, call, &id, &avoid, produced).await?,
            _ => admit_again(node, call, &id, &mut avoid, produced).await?,
        };
        let attempt = Attempt::new(Rc::clone(node), id, admitted, Rc::clone(call));
        let ended = attempt.run(produced, charge, events).await;
        charge.set_used(produced.used_tokens());
        let error = match ended {
            Ok(finish_reason) => {
                attempt.finish(produced, Ok(())).await;
                return Ok(finish_reason);
            }
            Err(error) => error,
        };
        log::debug!(target: "serve", "attempt {} ended: {error:?}", attempt.id());
        let crashes = attempt.finish(produced, Err(&error)).await;
        if matches!(error, AttemptError::Endpoint { died: true, .. }) {
            spread_suspicions(node).await;
        }
        let outcome = produced.outcome();
        match error {
            AttemptError::CallerGone => return Err(CallError::EngineFailed { outcome }),
            AttemptError::DeadlinePassed => return Err(CallError::DeadlinePassed { outcome }),
            AttemptError::Endpoint { endpoint, .. } => avoid.push(endpoint),
        }
        if crashes >= MAX_CRASHES {
            return Err(CallError::CrashesEndpoints { outcome });
        }
        if produced.tokens.len() > first_index {
            attempts = 0;
        }
        // A stream that has begun is resumed in any case; its caller cannot send it again
        // without reading it twice.
        let may_retry = !produced.tokens.is_empty() || node.retry_budget.take_retry();
        if attempts >= MAX_ATTEMPTS || !may_retry {
            return Err(CallError::EngineFailed { outcome });
        }
    }
}

/// Admits a request whose earlier attempt failed. Its time in the queue counts from now, since
/// the first attempt may have used up the request's own. Endpoints that failed are only avoided
/// while others have room, and a stream that has begun waits until its deadline.
async fn admit_again(
    node: &Rc<Node>,
    call: &Rc<Call>,
    id: &AttemptId,
    avoid: &mut Vec<EndpointId>,
    produced: &Produced,
) -> Result<Admitted, CallError> {
    let queue_deadline = || node.clock.now().plus_ms(node.settings.interactive_queue_ms);
    let again = call.queued_until(queue_deadline());
    match route::admit(node, &again, id, avoid, produced).await {
        Err(CallError::NoEndpoint { .. } | CallError::NoCapacity { .. }) => {}
        admitted => return admitted,
    }
    avoid.clear();
    let has_begun = !produced.tokens.is_empty();
    let again = call.queued_until(if has_begun { call.deadline } else { queue_deadline() });
    route::admit(node, &again, id, avoid, produced).await
}
