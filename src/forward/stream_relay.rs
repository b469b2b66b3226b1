//! Relays the events of a generation from an engine to the caller.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::CONTENT_TYPE;
use tokio::sync::mpsc::Sender;

use crate::catalog::RowDecoder;
use crate::clock::{Clock, Instant};
use crate::forward::decode::{OpenStream, Opened};
use crate::forward::request_context::RequestContext;
use crate::forward::response_memory::grow_when_free;
use crate::forward::{Codec, EndpointError, EventSplitter, Forwarder};
use crate::http::{BrokenStream, HeldMemory};

/// Number of maximum event gaps of the route without any bytes after which a resumable stream is
/// resumed at another engine.
const STALL_TIMEOUT_GAPS: u64 = 4;
/// The same for a stream whose bytes complete no event. Longer, because a long event may arrive in
/// many pieces.
const EVENT_TIMEOUT_GAPS: u64 = 8;
/// Maximum gap between events for routes that do not configure one.
const DEFAULT_MAX_GAP_MS: u64 = 400;

/// Largest events that are copied out of the buffer of their stream.
const MAX_COPIED_BYTES: usize = 32 << 10;

type Events = Sender<Result<Bytes, BrokenStream>>;

/// Result of relaying the events of one engine.
enum RelayEnd {
    Complete,
    CallerGone,
    DeadlinePassed,
    Failed(EndpointError),
}

/// Relays a stream's events to the caller, and breaks the response off if the stream does not end.
pub(super) async fn relay<K: Codec, D: RowDecoder, C: Clock>(
    forwarder: Rc<Forwarder<K, D, C>>,
    context: RequestContext<C>,
    stream: OpenStream,
    events: Events,
) {
    if relay_to_end(&forwarder, context, stream, &events).await.is_err() {
        // Waits while the caller accepts no bytes: closing the channel would end the response as if
        // it were complete. The error is ignored: the caller may have disconnected.
        let _ = events.send(Err(BrokenStream)).await;
    }
}

/// Relays events until the stream ends or the caller disconnects, and resumes it at another engine
/// after a failure if the route allows that. Fails if the stream does not end.
async fn relay_to_end<K: Codec, D: RowDecoder, C: Clock>(
    forwarder: &Forwarder<K, D, C>,
    mut context: RequestContext<C>,
    mut stream: OpenStream,
    events: &Events,
) -> Result<(), BrokenStream> {
    loop {
        let ended = relay_events(forwarder, &context, &mut stream, events).await;
        let progress = stream.splitter.continuation();
        let content_type = stream.head.headers.get(CONTENT_TYPE).cloned();
        let error = match ended {
            RelayEnd::Complete => {
                let headers = std::mem::take(&mut stream.head.headers);
                forwarder.parts.endpoints.keep(&stream.endpoint, stream.connection, &headers);
                context.log.set_outcome("answered");
                return Ok(());
            }
            RelayEnd::CallerGone => return Ok(()),
            RelayEnd::DeadlinePassed => {
                context.log.set_outcome("timeout");
                return Err(BrokenStream);
            }
            RelayEnd::Failed(error) => error,
        };
        record_stream_failure(forwarder, &mut context, &stream, &error);
        // A failed stream is closed before it is resumed, so that the first engine stops working on
        // it. A stream that only timed out stays open as a fallback in case no other engine can
        // resume it, until another one works on the request.
        let mut stalled_stream = (error == EndpointError::Timeout).then_some(stream);
        if stalled_stream.is_none() && !context.may_run_again() {
            context.log.set_outcome("broken_off");
            return Err(BrokenStream);
        }
        let resumed = resume(forwarder, &mut context, &progress, &mut stalled_stream, events).await;
        let resumed = resumed.filter(|resumed| {
            let is_same_type = resumed.head.headers.get(CONTENT_TYPE) == content_type.as_ref();
            if !is_same_type {
                context.log.set_outcome("not_resumed");
            }
            is_same_type
        });
        stream = match (resumed, stalled_stream) {
            (Some(resumed), _) => resumed,
            (None, Some(stalled_stream)) if !events.is_closed() => {
                context.runs = context.route.max_endpoints;
                stalled_stream
            }
            (None, _) => return Err(BrokenStream),
        };
    }
}

fn record_stream_failure<K: Codec, D: RowDecoder, C: Clock>(
    forwarder: &Forwarder<K, D, C>,
    context: &mut RequestContext<C>,
    stream: &OpenStream,
    error: &EndpointError,
) {
    forwarder.record_version_failure(context, &stream.endpoint, error);
    let endpoint = &stream.load.endpoint;
    context.log.record_send("stream", endpoint.as_str(), error.code());
    if let Some(state) = forwarder.parts.balancer.borrow_mut().endpoint_mut(endpoint) {
        state.health.record_failure(forwarder.parts.clock.now());
    }
    if let (EndpointError::Broken { .. }, Some(generation)) = (error, &context.request.generation) {
        context.log.record_broken(generation);
    }
    context.runs += 1;
    context.excluded.push(endpoint.clone());
}

/// Continues the stream of `progress` at another engine; `None` if that is not possible or the
/// caller has disconnected.
async fn resume<K: Codec, D: RowDecoder, C: Clock>(
    forwarder: &Forwarder<K, D, C>,
    context: &mut RequestContext<C>,
    progress: &EventSplitter,
    stalled_stream: &mut Option<OpenStream>,
    events: &Events,
) -> Option<OpenStream> {
    let opened = tokio::select! {
        opened = forwarder.open_stream(context, progress, stalled_stream) => opened,
        () = events.closed() => return None,
    };
    match opened {
        Ok(Opened::Stream(stream)) => Some(*stream),
        Ok(Opened::NonStream(_)) => {
            context.log.set_outcome("not_resumed");
            None
        }
        Err(refusal) => {
            context.log.set_outcome(refusal.code());
            None
        }
    }
}

/// Relays the events of one engine until its stream ends or fails.
async fn relay_events<K: Codec, D: RowDecoder, C: Clock>(
    forwarder: &Forwarder<K, D, C>,
    context: &RequestContext<C>,
    stream: &mut OpenStream,
    events: &Events,
) -> RelayEnd {
    let clock = &forwarder.parts.clock;
    let first = std::mem::take(&mut stream.first_events);
    if !first.is_empty() {
        let first = hold_events(&mut stream.held, first);
        if let Err(end) = send_events(events, first, context.deadline, clock).await {
            return end;
        }
    }
    let max_gap_ms = context.route.max_event_gap_ms.unwrap_or(DEFAULT_MAX_GAP_MS);
    let may_resume = context.may_run_elsewhere();
    let mut last_event_at = clock.now();
    while !stream.has_ended {
        let now = clock.now();
        let stalled_at = if may_resume {
            let silent_until = now.plus_ms(max_gap_ms * STALL_TIMEOUT_GAPS);
            silent_until.min(last_event_at.plus_ms(max_gap_ms * EVENT_TIMEOUT_GAPS))
        } else {
            context.deadline
        };
        let limit = stalled_at.min(context.deadline).remaining(now);
        let frame = tokio::select! {
            frame = tokio::time::timeout(limit, stream.body.frame()) => frame,
            () = events.closed() => return RelayEnd::CallerGone,
        };
        match frame {
            Err(_) if clock.now() >= context.deadline => return RelayEnd::DeadlinePassed,
            Err(_) => return RelayEnd::Failed(EndpointError::Timeout),
            Ok(None) => stream.has_ended = true,
            Ok(Some(Err(error))) => {
                return RelayEnd::Failed(EndpointError::Broken {
                    reason: error.to_string().into(),
                });
            }
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                let deadline = context.deadline;
                let needed_bytes = stream.splitter.buffer_bytes_after(data.len());
                let held = &mut stream.held;
                let has_room = tokio::select! {
                    has_room = grow_when_free(held, needed_bytes, deadline, clock) => has_room,
                    () = events.closed() => return RelayEnd::CallerGone,
                };
                if !has_room {
                    return RelayEnd::DeadlinePassed;
                }
                let complete_events = stream.splitter.push(&data);
                drop(data);
                let Some(complete_events) = complete_events else {
                    if stream.splitter.is_overlong() || stream.splitter.is_out_of_order() {
                        return RelayEnd::Failed(EndpointError::Mismatched);
                    }
                    continue;
                };
                stream.load.grow_to(memory_used(context, &stream.splitter));
                let complete_events = hold_events(&mut stream.held, complete_events);
                if let Err(end) = send_events(events, complete_events, deadline, clock).await {
                    return end;
                }
                last_event_at = clock.now();
            }
        }
    }
    if stream.splitter.has_partial() {
        return RelayEnd::Failed(EndpointError::Broken { reason: "ended within an event".into() });
    }
    RelayEnd::Complete
}

/// Takes the memory of complete events out of that of the buffer. Short ones are copied, since each
/// would hold the whole buffer.
fn hold_events(held: &mut HeldMemory, events: Bytes) -> Bytes {
    let held = held.split(events.len());
    if events.len() > MAX_COPIED_BYTES {
        return held.into_bytes(events);
    }
    held.into_bytes(events.to_vec())
}

/// Passes events to the caller's connection, which may accept no more bytes before the deadline.
async fn send_events<C: Clock>(
    events: &Events,
    complete_events: Bytes,
    deadline: Instant,
    clock: &C,
) -> Result<(), RelayEnd> {
    let limit = deadline.remaining(clock.now());
    match tokio::time::timeout(limit, events.send(Ok(complete_events))).await {
        Err(_) => Err(RelayEnd::DeadlinePassed),
        Ok(Err(_)) => Err(RelayEnd::CallerGone),
        Ok(Ok(())) => Ok(()),
    }
}

/// Returns the memory of a running generation, in tokens.
fn memory_used<C: Clock>(context: &RequestContext<C>, splitter: &EventSplitter) -> u64 {
    let prompt = context.request.generation.as_ref().map_or(0, |size| size.prompt_tokens);
    let event_tokens = context.service.engine.map_or(1, |engine| engine.tokens_per_event);
    prompt + splitter.events() * event_tokens
}
