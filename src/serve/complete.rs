//! Completion requests, from their validation to the response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Request, Response};
use smol_str::ToSmolStr;
use tokio::sync::mpsc;

use crate::clock::{Clock, unix_time_s};
use crate::config::Route;
use crate::gateway::Node;
use crate::http::{BrokenStream, ResponseBody};
use crate::pool::PriorityClass;
use crate::serve::claim::ClaimedRequest;
use crate::serve::completion_call::prompt_tokens_bound;
use crate::serve::{
    CompletionCall, CompletionFormat, CompletionRequest, Interface, OUTCOME_HEADER, Outcome,
    RunEvent, ServeError, charge, json_response, run,
};
use crate::units::{Fingerprint, ModelId, OrganisationId, RequestId, Tokens};

/// Events and chunks buffered for a slow caller.
const EVENT_CHANNEL_CAPACITY: usize = 64;
/// Delay before a body is failed, for the last event to be written: hyper drops unwritten data when
/// a body fails.
const FLUSH_DELAY: Duration = Duration::from_millis(5);
/// A lease takeover takes up to 5 s, and the buckets of its organisations start to fill 1.5 s
/// later. The rest is for the collection of request ids and the first draw.
const MAX_HOLDER_WAIT_MS: u64 = 8_000;
const MAX_REQUEST_ID_BYTES: usize = 128;
const REQUEST_ID_HEADER: &str = "x-request-id";
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Output limit of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Answers a completion request, streamed or as a whole.
pub async fn complete(
    node: &Rc<Node>,
    route: &Route,
    organisation: OrganisationId,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ServeError> {
    let interface = if request.uri().path().ends_with("/chat/completions") {
        Interface::ChatCompletions
    } else {
        Interface::Completions
    };
    let headers = request.headers().clone();
    let body = read_body(request, node.settings.max_body_bytes).await?;
    let parsed = CompletionRequest::parse(interface, &body)?;
    let call = Rc::new(validate(node, route, organisation, &headers, &parsed)?);
    if node.suspects.is_refused(call.fingerprint) {
        let outcome = Outcome::NotRun;
        return Err(ServeError::CrashesEndpoints { outcome });
    }
    let (sender, mut events) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let in_flight = node.in_flight.enter();
    let task_node = Rc::clone(node);
    let task_call = Rc::clone(&call);
    tokio::task::spawn_local(async move {
        claim_and_run(task_node, task_call, sender).await;
        drop(in_flight);
    });
    let first = events.recv().await.unwrap_or(RunEvent::Failed(ServeError::Stopping));
    if let RunEvent::Failed(error) = first {
        return Err(error);
    }
    let format = CompletionFormat {
        interface,
        id: call.request.as_ref().map_or_else(
            || node.running_attempts.next_id().to_smolstr(),
            |request| request.as_str().into(),
        ),
        model: parsed.model.clone(),
        created_s: unix_time_s(),
    };
    if parsed.stream {
        Ok(stream_response(format, first, events))
    } else {
        full_response(&format, first, events).await
    }
}

/// Claims the request's id, charges the budget and runs the request. Runs in a task of its own,
/// since a claim must be ended even if the caller disconnects before the request runs.
async fn claim_and_run(node: Rc<Node>, call: Rc<CompletionCall>, events: mpsc::Sender<RunEvent>) {
    let started_at = node.clock.now();
    let claimed = match unless_disconnected(&events, ClaimedRequest::claim(&node, &call)).await {
        Some(Ok(claimed)) => claimed,
        Some(Err(error)) => {
            let _ = events.send(RunEvent::Failed(error)).await;
            return;
        }
        None => return,
    };
    // Only a missing shard holder delays a claim.
    let call = call.with_queue_extended_by(node.clock.now().ms_since(started_at));
    let is_complete = match unless_disconnected(&events, charge::charge(&node, &call)).await {
        Some(Ok((charge, waited_ms))) => {
            node.retry_budget.record_request();
            let call = Rc::new(call.with_queue_extended_by(waited_ms));
            run::run(Rc::clone(&node), call, charge, events).await
        }
        Some(Err(error)) => {
            let _ = events.send(RunEvent::Failed(error)).await;
            false
        }
        None => false,
    };
    if let Some(claimed) = claimed {
        claimed.finish(is_complete).await;
    }
}

/// Awaits a step before the request runs; `None` if the caller disconnects first.
async fn unless_disconnected<T>(
    events: &mpsc::Sender<RunEvent>,
    step: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        done = step => Some(done),
        () = events.closed() => None,
    }
}

/// Reads a request's body up to a limit.
pub async fn read_body(
    request: Request<Incoming>,
    max_body_bytes: usize,
) -> Result<Bytes, ServeError> {
    match Limited::new(request.into_body(), max_body_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ServeError::BodyTooLarge { max_body_bytes })
        }
        Err(_) => Err(ServeError::BodyUnreadable),
    }
}

fn validate(
    node: &Node,
    route: &Route,
    organisation: OrganisationId,
    headers: &HeaderMap,
    parsed: &CompletionRequest,
) -> Result<CompletionCall, ServeError> {
    let current = node.configuration.current();
    let model = ModelId::new(parsed.model.clone());
    let Some(limits) = current.document.models.get(&model) else {
        return Err(ServeError::UnknownModel { model: parsed.model.clone() });
    };
    let model_limit = limits.max_output_tokens;
    let max_output_tokens = match parsed.max_tokens {
        None => model_limit.min(Tokens(DEFAULT_MAX_TOKENS)),
        Some(tokens) if tokens >= 1 && tokens <= model_limit.0 => Tokens(tokens),
        Some(_) => return Err(ServeError::BadMaxTokens { max_tokens: model_limit.0 }),
    };
    if prompt_tokens_bound(&parsed.prompt, limits) > limits.max_prompt_tokens {
        return Err(ServeError::PromptTooLong { max_tokens: limits.max_prompt_tokens.0 });
    }
    let now = node.clock.now();
    let timeout_ms = match parse_number_header(headers, TIMEOUT_HEADER)? {
        Some(timeout_ms) => timeout_ms.min(node.settings.request_timeout_ms),
        None => node.settings.request_timeout_ms,
    };
    let deadline = now.plus_ms(timeout_ms);
    let queue_ms = match route.class {
        PriorityClass::Interactive => node.settings.interactive_queue_ms,
        PriorityClass::Waiting => node.settings.waiting_queue_ms,
    };
    Ok(CompletionCall {
        fingerprint: Fingerprint::of_prompt(&organisation, &model, &parsed.prompt),
        organisation,
        request: request_id(headers)?,
        model,
        model_limits: limits.clone(),
        prompt: parsed.prompt.clone(),
        max_output_tokens,
        class: route.class,
        deadline,
        queue_deadline: now.plus_ms(queue_ms).min(deadline),
        holder_deadline: now.plus_ms(MAX_HOLDER_WAIT_MS.max(queue_ms)).min(deadline),
    })
}

fn request_id(headers: &HeaderMap) -> Result<Option<RequestId>, ServeError> {
    let Some(value) = headers.get(REQUEST_ID_HEADER) else { return Ok(None) };
    let text = value.to_str().map_err(|_| ServeError::BadHeader { header: REQUEST_ID_HEADER })?;
    if text.is_empty() || text.len() > MAX_REQUEST_ID_BYTES {
        return Err(ServeError::BadHeader { header: REQUEST_ID_HEADER });
    }
    Ok(Some(RequestId::new(text)))
}

fn parse_number_header(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, ServeError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or(ServeError::BadHeader { header: name })
}

fn stream_response(
    format: CompletionFormat,
    first: RunEvent,
    mut events: mpsc::Receiver<RunEvent>,
) -> Response<ResponseBody> {
    let (sender, chunks) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    tokio::task::spawn_local(async move {
        let mut event = Some(first);
        while let Some(current) = event {
            let (chunk, is_failed) = match &current {
                RunEvent::Token(text) => (format.token_event(text), false),
                RunEvent::Done { finish_reason, prompt_tokens, output_tokens } => {
                    (format.end_events(finish_reason, *prompt_tokens, *output_tokens), false)
                }
                RunEvent::Failed(error) => (format.error_event(error), true),
            };
            if sender.send(Ok(chunk)).await.is_err() {
                return;
            }
            if is_failed {
                tokio::time::sleep(FLUSH_DELAY).await;
                let _ = sender.send(Err(BrokenStream)).await;
                return;
            }
            // Also watches the connection, so that a disconnect is noticed before the next token.
            event = tokio::select! {
                event = events.recv() => event,
                () = sender.closed() => return,
            };
        }
    });
    let mut response = Response::new(ResponseBody::Stream(chunks));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

async fn full_response(
    format: &CompletionFormat,
    first: RunEvent,
    mut events: mpsc::Receiver<RunEvent>,
) -> Result<Response<ResponseBody>, ServeError> {
    let mut text = String::new();
    let mut event = Some(first);
    while let Some(current) = event {
        match current {
            RunEvent::Token(token) => text.push_str(&token),
            RunEvent::Failed(error) => return Err(error),
            RunEvent::Done { finish_reason, prompt_tokens, output_tokens } => {
                let full_body =
                    format.full_body(&text, &finish_reason, prompt_tokens, output_tokens);
                let mut response = json_response(&full_body);
                response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("run"));
                return Ok(response);
            }
        }
        event = events.recv().await;
    }
    Err(ServeError::EngineFailed { outcome: Outcome::Run })
}
