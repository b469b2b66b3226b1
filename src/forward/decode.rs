//! Starts generations at decode engines.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Response, StatusCode};

use crate::catalog::{Endpoint, RowDecoder};
use crate::clock::{Clock, Instant};
use crate::forward::connection::Connection;
use crate::forward::plan::Plan;
use crate::forward::request_context::{LoadGuard, RequestContext};
use crate::forward::response_memory::grow_when_free;
use crate::forward::{
    Codec, EndpointError, EndpointRequest, EventSplitter, Forwarder, KvSource, Stage,
};
use crate::http::{HeldMemory, ResponseBody};

/// Time to the first event, added to twice the expected time, after which a retryable generation is
/// started at another engine.
const FIRST_EVENT_TIMEOUT_MS: u64 = 700;

/// An open event stream with its first events.
pub(super) struct OpenStream {
    pub endpoint: Rc<Endpoint>,
    pub connection: Connection,
    pub head: response::Parts,
    pub body: Incoming,
    pub splitter: EventSplitter,
    pub first_events: Bytes,
    /// Memory of the first events and of an incomplete one.
    pub held: HeldMemory,
    pub has_ended: bool,
    pub load: LoadGuard,
}

/// Result of starting a generation at an engine.
pub(super) enum Opened {
    Stream(Box<OpenStream>),
    /// A response of the engine that is not an event stream, such as an error.
    NonStream(Response<ResponseBody>),
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Starts the generation at a decode engine and waits for the first events.
    pub(super) async fn decode(
        &self,
        context: &mut RequestContext<C>,
        plan: Plan<K, C>,
        source: Option<KvSource>,
        progress: &EventSplitter,
    ) -> Result<Opened, EndpointError> {
        let now = self.parts.clock.now();
        let includes_prefill = source.is_none();
        let endpoint = Rc::clone(&plan.decode.endpoint);
        let expected_ms = plan.decode.expected_ms;
        let attempt_timeout_ms = FIRST_EVENT_TIMEOUT_MS + 2 * expected_ms;
        let until = if context.may_run_elsewhere() {
            context.deadline.min(now.plus_ms(attempt_timeout_ms))
        } else {
            context.deadline
        };
        let stage = source.map_or(Stage::Whole, Stage::Decode);
        let name = if includes_prefill { "whole" } else { "decode" };
        let result = self.exchange_decode(context, plan, stage, progress, until).await;
        let code = result.as_ref().map_or_else(|error| error.code(), |_| "started");
        context.log.record_send(name, endpoint.id.as_str(), code);
        if let Ok(Opened::Stream(stream)) = &result
            && stream.splitter.events() > 0
        {
            self.record_begun(context);
        }
        if result.is_ok() {
            context.charge.has_run = true;
            let mut balancer = self.parts.balancer.borrow_mut();
            if let Some(state) = balancer.endpoint_mut(&endpoint.id) {
                let at = self.parts.clock.now();
                if !includes_prefill {
                    state.record_unit_time(at.ms_since(now) as f64);
                }
                state.health.record_success(at);
            }
        }
        result
    }

    async fn exchange_decode(
        &self,
        context: &RequestContext<C>,
        plan: Plan<K, C>,
        stage: Stage,
        progress: &EventSplitter,
        until: Instant,
    ) -> Result<Opened, EndpointError> {
        let Plan { decode: placement, mut load, mut memory_reservation, .. } = plan;
        let outgoing = EndpointRequest {
            request: &context.request,
            organisation: context.organisation(),
            rank: context.rank,
            endpoint: &placement.endpoint,
            stage,
            last_event: progress.last_event(),
            memory_reservation: memory_reservation
                .as_ref()
                .map(|memory_reservation| memory_reservation.name.as_str()),
            deadline: context.deadline,
        };
        let (connection, response) = self.parts.endpoints.send(&outgoing, until).await?;
        // The engine has responded, so it has consumed the reservation.
        if let Some(memory_reservation) = &mut memory_reservation {
            memory_reservation.guard.disarm();
        }
        if response.status() != StatusCode::OK {
            let endpoint = &placement.endpoint;
            let load = Some(load);
            let answer = self.read_response(context, endpoint, connection, response, load).await?;
            return Ok(Opened::NonStream(answer));
        }
        let (head, mut body) = response.into_parts();
        let endpoint = placement.endpoint;
        let mut splitter = progress.continuation();
        let mut held = context.memory.begin_part();
        loop {
            let limit = until.remaining(self.parts.clock.now());
            let frame = tokio::time::timeout(limit, body.frame()).await;
            let frame = frame.map_err(|_| EndpointError::Timeout)?;
            let (first_events, has_ended) = match frame {
                None if splitter.has_partial() => {
                    return Err(EndpointError::Broken { reason: "ended within an event".into() });
                }
                None if splitter.is_at_continuation() => {
                    return Err(EndpointError::Broken { reason: "continued by no event".into() });
                }
                None if splitter.last_event().is_none() => {
                    let reason = "ended before the first event".into();
                    return Err(EndpointError::Broken { reason });
                }
                // The caller resumes a stream whose events it has all received.
                None => (Bytes::new(), true),
                Some(Err(error)) => {
                    return Err(EndpointError::Broken { reason: error.to_string().into() });
                }
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    let clock = &self.parts.clock;
                    let needed_bytes = splitter.buffer_bytes_after(data.len());
                    if !grow_when_free(&mut held, needed_bytes, until, clock).await {
                        return Err(EndpointError::Timeout);
                    }
                    match splitter.push(&data) {
                        Some(events) => (events, false),
                        None if splitter.is_overlong() || splitter.is_out_of_order() => {
                            return Err(EndpointError::Mismatched);
                        }
                        None => continue,
                    }
                }
            };
            load.remove_prompt_load();
            return Ok(Opened::Stream(Box::new(OpenStream {
                endpoint,
                connection,
                head,
                body,
                splitter,
                first_events,
                held,
                has_ended,
                load,
            })));
        }
    }
}
