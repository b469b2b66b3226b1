use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc::Sender;

use crate::catalog::RowDecoder;
use crate::clock::Clock;
use crate::forward::generate::{OpenStream, Opened};
use crate::forward::request_scope::RequestScope;
use crate::forward::{Codec, EndpointRequestError, EventSplitter, Forwarder};
use crate::http::BrokenStream;

/// Pauses of the longest allowed length after which a stream that may be resumed goes on at
/// another engine.
const STALLED_PAUSES: u64 = 4;
/// Longest allowed pause on routes that tell none.
const DEFAULT_PAUSE_MS: u64 = 400;

type Events = Sender<Result<Bytes, BrokenStream>>;

/// How passing on one engine's events ended.
enum Ended {
    Complete,
    CallerGone,
    DeadlinePassed,
    Failed(EndpointRequestError),
}

/// Passes a stream's events to the caller until its end, and resumes it where that is allowed.
pub(super) async fn relay<K: Codec, D: RowDecoder, C: Clock>(
    forwarder: Rc<Forwarder<K, D, C>>,
    mut scope: RequestScope<C>,
    mut stream: OpenStream,
    events: Events,
) {
    let mut last_event = scope.request.generation.as_ref().and_then(|size| size.last_event);
    loop {
        let ended = pass_on(&forwarder, &scope, &mut stream, &events).await;
        last_event = stream.splitter.last_event().or(last_event);
        let error = match ended {
            Ended::Complete => {
                let headers = std::mem::take(&mut stream.head.headers);
                forwarder.parts.connections.put_idle(stream.connection, &headers);
                scope.log.set_outcome("answered");
                return;
            }
            Ended::CallerGone => return,
            Ended::DeadlinePassed => {
                scope.log.set_outcome("timeout");
                break;
            }
            Ended::Failed(error) => error,
        };
        note_failure(&forwarder, &mut scope, &stream, &error);
        // A broken stream is closed first, which ends the engine's work before another goes on.
        // One that is only silent may still go on itself if no other engine can.
        let silent = (error == EndpointRequestError::Timeout).then_some(stream);
        if silent.is_none() && !scope.may_run_again() {
            scope.log.set_outcome("broken_off");
            break;
        }
        stream = match (resume(&forwarder, &mut scope, last_event, &events).await, silent) {
            (Some(resumed), _) => resumed,
            (None, Some(silent)) if !events.is_closed() => {
                scope.runs = scope.route.max_endpoints;
                silent
            }
            (None, _) => break,
        };
    }
    // The receiver may have gone meanwhile.
    let _ = events.send(Err(BrokenStream)).await;
}

fn note_failure<K: Codec, D: RowDecoder, C: Clock>(
    forwarder: &Forwarder<K, D, C>,
    scope: &mut RequestScope<C>,
    stream: &OpenStream,
    error: &EndpointRequestError,
) {
    let endpoint = &stream.load.endpoint;
    scope.log.note_send("stream", endpoint.as_str(), error.code());
    if let Some(state) = forwarder.parts.balancer.borrow_mut().endpoint_mut(endpoint) {
        state.health.note_failure(forwarder.parts.clock.now());
    }
    scope.runs += 1;
    scope.excluded.push(endpoint.clone());
}

async fn resume<K: Codec, D: RowDecoder, C: Clock>(
    forwarder: &Forwarder<K, D, C>,
    scope: &mut RequestScope<C>,
    last_event: Option<u64>,
    events: &Events,
) -> Option<OpenStream> {
    let opened = tokio::select! {
        opened = forwarder.open_stream(scope, last_event) => opened,
        () = events.closed() => return None,
    };
    match opened {
        Ok(Opened::Stream(stream)) => Some(*stream),
        Ok(Opened::Answer(_)) => {
            scope.log.set_outcome("not_resumed");
            None
        }
        Err(refusal) => {
            scope.log.set_outcome(refusal.code());
            None
        }
    }
}

async fn pass_on<K: Codec, D: RowDecoder, C: Clock>(
    forwarder: &Forwarder<K, D, C>,
    scope: &RequestScope<C>,
    stream: &mut OpenStream,
    events: &Events,
) -> Ended {
    let clock = &forwarder.parts.clock;
    let first = std::mem::take(&mut stream.first_events);
    if !first.is_empty() && events.send(Ok(first)).await.is_err() {
        return Ended::CallerGone;
    }
    let pause_ms = scope.route.max_pause_ms.unwrap_or(DEFAULT_PAUSE_MS) * STALLED_PAUSES;
    let may_resume = scope.may_run_elsewhere();
    while !stream.has_ended {
        let now = clock.now();
        let stalled_at = if may_resume { now.plus_ms(pause_ms) } else { scope.deadline };
        let limit = stalled_at.min(scope.deadline).remaining(now);
        let frame = tokio::select! {
            frame = tokio::time::timeout(limit, stream.body.frame()) => frame,
            () = events.closed() => return Ended::CallerGone,
        };
        match frame {
            Err(_) if clock.now() >= scope.deadline => return Ended::DeadlinePassed,
            Err(_) => return Ended::Failed(EndpointRequestError::Timeout),
            Ok(None) => stream.has_ended = true,
            Ok(Some(Err(error))) => {
                return Ended::Failed(EndpointRequestError::Broken {
                    reason: error.to_string().into(),
                });
            }
            Ok(Some(Ok(frame))) => {
                let whole = frame.data_ref().and_then(|data| stream.splitter.push(data));
                let Some(whole) = whole else { continue };
                stream.load.grow_to(memory_used(scope, &stream.splitter));
                if events.send(Ok(whole)).await.is_err() {
                    return Ended::CallerGone;
                }
            }
        }
    }
    if stream.splitter.has_partial() {
        return Ended::Failed(EndpointRequestError::Broken {
            reason: "ended within an event".into(),
        });
    }
    Ended::Complete
}

/// Memory that a running generation holds.
fn memory_used<C: Clock>(scope: &RequestScope<C>, splitter: &EventSplitter) -> u64 {
    let prompt = scope.request.generation.as_ref().map_or(0, |size| size.prompt_tokens);
    let event_tokens = scope.service.engine.map_or(1, |engine| engine.event_tokens);
    prompt + splitter.events() * event_tokens
}
