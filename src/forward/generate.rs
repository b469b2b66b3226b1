//! Forwarding of generations: selects prefill and decode engines, reserves memory and opens the
//! event stream.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Response, StatusCode};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::balance::{
    DecodeQuery, Load, MemoryEstimate, Placement, PlacementError, PrefillQuery, SendKind,
};
use crate::catalog::{Endpoint, RowDecoder};
use crate::clock::{Clock, Instant};
use crate::forward::connection::Connection;
use crate::forward::memory_reservation::MemoryReservation;
use crate::forward::release_guard::ReleaseGuard;
use crate::forward::request_context::{LoadGuard, RequestContext};
use crate::forward::stream_relay::relay;
use crate::forward::{
    Codec, EndpointError, EndpointRequest, EventSplitter, Forwarder, KvSource, Refusal, Stage,
};
use crate::http::ResponseBody;
use crate::units::EndpointId;

/// Time added to twice the expected duration of a prefill before it times out and another engine is
/// tried.
const PREFILL_TIMEOUT_MARGIN_MS: u64 = 450;
/// Time to the first event, added to twice the expected time, after which a retryable generation is
/// started at another engine.
const FIRST_EVENT_TIMEOUT_MS: u64 = 700;
/// Expected overhead of a separate prefill and the transfer of its KV cache.
const KV_TRANSFER_MS: u64 = 15;
/// Maximum time that a request waits for an engine. Callers abandon a stream that has not begun
/// after four times its target latency, 3.6 s on current deployments.
const MAX_QUEUE_MS: u64 = 1_500;
/// The same for a stream that is resumed at another engine, measured from its failure.
const MAX_RESUME_QUEUE_MS: u64 = 1_200;
/// Fraction of a decode engine's memory that is deliberately filled, and the lower fraction up to
/// which requests are placed that already miss their target latency. The difference is left for
/// requests that can still meet it.
const FILL_FRACTION: f64 = 1.1;
const LATE_FILL_FRACTION: f64 = 0.9;
/// Queue penalty for each token that a request is expected to generate, because it occupies its
/// memory for as long as it generates.
const QUEUE_PENALTY_MS_PER_TOKEN: f64 = 0.3;
/// Interval at which a queued request checks the engines.
const QUEUE_POLL_MS: u64 = 30;
/// Typical time from the placement of a request to its first event.
const TYPICAL_FIRST_EVENT_MS: u64 = 350;
/// Fraction of the lifetime of a KV cache handle during which it is used.
const HANDLE_REUSE_FRACTION: f64 = 0.7;
/// Capacity of the channel of events to a caller.
const CHANNEL_EVENTS: usize = 16;

/// An open event stream with its first events.
pub(super) struct OpenStream {
    pub endpoint: Rc<Endpoint>,
    pub connection: Connection,
    pub head: response::Parts,
    pub body: Incoming,
    pub splitter: EventSplitter,
    pub first_events: Bytes,
    pub has_ended: bool,
    pub load: LoadGuard,
}

/// Result of starting a generation at an engine.
pub(super) enum Opened {
    Stream(Box<OpenStream>),
    /// A response of the engine that is not an event stream, such as an error.
    NonStream(Response<ResponseBody>),
}

/// Engines selected for a generation.
pub(super) struct Plan<K: Codec, C: Clock> {
    /// Engine for the prefill; `None` if it is done already or the decode engine does it.
    prefill: Option<Placement>,
    pub decode: Placement,
    /// Load accounted at the decode engine.
    load: LoadGuard,
    /// Memory reservation at the decode engine.
    pub memory_reservation: Option<MemoryReservation<K, C>>,
}

/// A completed prefill whose KV cache is held by its engine.
struct Prefill<K: Codec, C: Clock> {
    source: KvSource,
    guard: ReleaseGuard<K, C>,
    zone: crate::units::ZoneId,
    usable_until: Instant,
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Runs a generation and relays its events to the caller.
    pub(super) async fn run_stream(
        self: &Rc<Self>,
        mut context: RequestContext<C>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let last_event = context.request.generation.as_ref().and_then(|size| size.last_event);
        let splitter = EventSplitter::after(last_event);
        match self.open_stream(&mut context, &splitter).await {
            Err(refusal) => {
                context.log.set_outcome(refusal.code());
                Err(refusal)
            }
            Ok(Opened::NonStream(answer)) => {
                let is_success = answer.status().is_success();
                context.log.set_outcome(if is_success { "answered" } else { "error" });
                Ok(answer)
            }
            Ok(Opened::Stream(stream)) => {
                context.log.record_first_response();
                let (events, receiver) = mpsc::channel(CHANNEL_EVENTS);
                let mut answer = Response::new(ResponseBody::Stream(receiver));
                *answer.status_mut() = stream.head.status;
                *answer.headers_mut() = self.codec().response_headers(&stream.head.headers);
                tokio::task::spawn_local(relay(Rc::clone(self), context, *stream, events));
                Ok(answer)
            }
        }
    }

    /// Starts a generation, or continues the stream of `progress`, trying engines until one accepts
    /// it or no attempt is left.
    pub(super) async fn open_stream(
        &self,
        context: &mut RequestContext<C>,
        progress: &EventSplitter,
    ) -> Result<Opened, Refusal> {
        let mut prefill: Option<Prefill<K, C>> = None;
        loop {
            let now = self.parts.clock.now();
            if now >= context.deadline {
                return Err(self.deadline_refusal(context));
            }
            prefill = prefill.filter(|prefill| now < prefill.usable_until);
            let plan = self.place(context, prefill.as_ref()).await?;
            self.refuse_if_crashing(context)?;
            if let Some(placement) = &plan.prefill {
                // An engine may have left while the memory was reserved or the prompt was read.
                if !self.may_receive(&placement.endpoint) {
                    continue;
                }
                prefill = self.prefill(context, placement).await?;
                if prefill.is_none() {
                    continue;
                }
            }
            self.refuse_if_crashing(context)?;
            let endpoint = Rc::clone(&plan.decode.endpoint);
            if !self.may_receive(&endpoint) {
                continue;
            }
            let Some(send) = self.begin_send(context, &endpoint, SendKind::Run) else {
                return Err(self.capacity_refusal(context));
            };
            let source = prefill.as_ref().map(|prefill| prefill.source.clone());
            let result = self.decode(context, plan, source, progress).await;
            self.finish_send(context, &endpoint, send, &result);
            match result {
                Ok(opened) => {
                    // The decode engine has fetched the KV cache.
                    if let Some(prefill) = &mut prefill {
                        prefill.guard.disarm();
                    }
                    return Ok(opened);
                }
                Err(error) => {
                    if error == EndpointError::NotRun {
                        self.record_endpoint_full(&endpoint.id);
                    }
                    self.record_endpoint_failure(context, &endpoint, &error);
                    if !error.is_not_run() {
                        context.charge.has_run = true;
                        context.runs += 1;
                        prefill = None;
                        if !context.may_run_again() {
                            return Err(Refusal::ResponseLost);
                        }
                    }
                }
            }
        }
    }

    /// Refuses a request if it has become known since its arrival that endpoints end under it.
    fn refuse_if_crashing(&self, context: &RequestContext<C>) -> Result<(), Refusal> {
        let checked = self.refuse_crashing(&context.service.id, &context.request);
        checked.map_err(|refusal| if context.runs > 0 { Refusal::ResponseLost } else { refusal })
    }

    fn may_receive(&self, endpoint: &Endpoint) -> bool {
        self.parts.balancer.borrow().may_receive(endpoint, self.parts.clock.now())
    }

    /// Records that an endpoint rejected a request because it was full.
    pub(super) fn record_endpoint_full(&self, endpoint: &EndpointId) {
        let now = self.parts.clock.now();
        if let Some(state) = self.parts.balancer.borrow_mut().endpoint_mut(endpoint) {
            state.record_full(now);
        }
    }

    /// Selects engines for a generation and reserves memory at the decode engine. While all engines
    /// are full, the request waits in the queue for as long as the response can still be in time.
    async fn place(
        &self,
        context: &mut RequestContext<C>,
        prefill: Option<&Prefill<K, C>>,
    ) -> Result<Plan<K, C>, Refusal> {
        let wait_queue = self.wait_queue(&context.service.id);
        let arrived_at = context.log.started_at;
        let now = self.parts.clock.now();
        let queue_until = if context.runs > 0 {
            now.plus_ms(MAX_RESUME_QUEUE_MS)
        } else {
            arrived_at.plus_ms(MAX_QUEUE_MS)
        };
        let queue_until = queue_until.min(context.deadline);
        if prefill.is_none() && wait_queue.expected_wait_ms(now) > queue_until.ms_since(now) {
            return Err(self.capacity_refusal(context));
        }
        let target_ms = context.route.target_latency_ms.saturating_sub(TYPICAL_FIRST_EVENT_MS);
        let due_at = arrived_at.plus_ms(target_ms);
        let ticket = wait_queue.enqueue(due_at, queue_penalty_ms(context), now);
        loop {
            let now = self.parts.clock.now();
            if ticket.is_next(now) || prefill.is_some() {
                let fill_fraction = if now > due_at { LATE_FILL_FRACTION } else { FILL_FRACTION };
                match self.plan(context, prefill, fill_fraction, now) {
                    Ok(plan) => {
                        if let Some(plan) = self.reserve_memory(context, plan).await {
                            wait_queue.record_placement(now);
                            return Ok(plan);
                        }
                        continue;
                    }
                    Err(
                        error @ (PlacementError::NoEndpoint | PlacementError::AllPaused { .. }),
                    ) => {
                        return Err(self.placement_refusal(context, error));
                    }
                    Err(PlacementError::AllAvoided { .. } | PlacementError::AllFull) => {}
                }
            }
            if now >= queue_until {
                return Err(self.capacity_refusal(context));
            }
            let pause = Duration::from_millis(QUEUE_POLL_MS);
            // A request that leaves the queue wakes the others. Memory freed by requests of peers
            // causes no wakeup, so it is found by polling.
            let _ = tokio::time::timeout(pause, wait_queue.dequeued()).await;
        }
    }

    /// Chooses between a separate prefill engine and a decode engine that also does the prefill,
    /// whichever is expected to be faster.
    fn plan(
        &self,
        context: &RequestContext<C>,
        prefill: Option<&Prefill<K, C>>,
        fill_fraction: f64,
        now: Instant,
    ) -> Result<Plan<K, C>, PlacementError> {
        let engine = context.service.engine.ok_or(PlacementError::NoEndpoint)?;
        let prompt_tokens = prompt_tokens(context);
        let mut balancer = self.parts.balancer.borrow_mut();
        let mut query = DecodeQuery {
            service: &context.service.id,
            memory_tokens: estimate_memory(context).expected_tokens,
            prompt_tokens: 0,
            fill_fraction,
            preferred_zone: prefill.map(|prefill| &prefill.zone),
            engine,
            excluded: &context.excluded,
        };
        if prefill.is_some() {
            let decode = balancer.choose_decode(&query, now)?;
            drop(balancer);
            return Ok(self.build_plan(context, None, decode, false, now));
        }
        let prefill_query = PrefillQuery {
            service: &context.service.id,
            prompt_tokens,
            excluded: &context.excluded,
        };
        let split = balancer.choose_prefill(&prefill_query, now).ok();
        query.prompt_tokens = prompt_tokens;
        let combined = balancer.choose_decode(&query, now)?;
        let split =
            split.filter(|split| split.expected_ms + KV_TRANSFER_MS <= combined.expected_ms);
        let Some(split) = split else {
            drop(balancer);
            return Ok(self.build_plan(context, None, combined, true, now));
        };
        query.prompt_tokens = 0;
        query.preferred_zone = Some(&split.endpoint.zone);
        let decode = balancer.choose_decode(&query, now)?;
        drop(balancer);
        Ok(self.build_plan(context, Some(split), decode, false, now))
    }

    /// Accounts for the load at the decode engine and returns the plan.
    fn build_plan(
        &self,
        context: &RequestContext<C>,
        prefill: Option<Placement>,
        decode: Placement,
        includes_prefill: bool,
        now: Instant,
    ) -> Plan<K, C> {
        let load = Load {
            requests: 1,
            prompt_tokens: if includes_prefill { prompt_tokens(context) } else { 0 },
            memory_tokens: estimate_memory(context).expected_tokens,
        };
        let load = LoadGuard::begin(&self.parts.balancer, &decode.endpoint.id, load, now);
        Plan { prefill, decode, load, memory_reservation: None }
    }

    /// Runs the prefill at an engine. On failure the engine is excluded and `None` is returned.
    /// Refuses the request if the service's retry limit is reached.
    async fn prefill(
        &self,
        context: &mut RequestContext<C>,
        placement: &Placement,
    ) -> Result<Option<Prefill<K, C>>, Refusal> {
        let now = self.parts.clock.now();
        let tokens = prompt_tokens(context);
        let load = Load { requests: 1, prompt_tokens: tokens, memory_tokens: tokens };
        let endpoint = &placement.endpoint;
        let _guard = LoadGuard::begin(&self.parts.balancer, &endpoint.id, load, now);
        let until = context
            .deadline
            .min(now.plus_ms(placement.expected_ms * 2 + PREFILL_TIMEOUT_MARGIN_MS));
        let queued_tokens = self.queued_prompt_tokens(placement);
        let Some(send) = self.begin_send(context, endpoint, SendKind::Prefill) else {
            return Err(self.capacity_refusal(context));
        };
        let result = self.exchange_prefill(context, placement, until).await;
        self.finish_send(context, endpoint, send, &result);
        let code = result.as_ref().map_or_else(|error| error.code(), |_| "read");
        context.log.record_send("prefill", endpoint.id.as_str(), code);
        let finished_at = self.parts.clock.now();
        match result {
            Ok(handle) => {
                let mut balancer = self.parts.balancer.borrow_mut();
                if let Some(state) = balancer.endpoint_mut(&endpoint.id) {
                    let prefill_ms = finished_at.ms_since(now) as f64;
                    state.record_unit_time(prefill_ms / queued_tokens.max(1) as f64);
                    state.health.record_success(finished_at);
                }
                let kv_ttl_ms = context.service.engine.map_or(0, |engine| engine.handle_ttl_ms);
                let usable_ms = kv_ttl_ms as f64 * HANDLE_REUSE_FRACTION;
                let source = KvSource { address: endpoint.address, handle };
                let release = self.codec().release_request(&source);
                let guard = ReleaseGuard::new(&self.parts.endpoints, endpoint, release);
                Ok(Some(Prefill {
                    source,
                    guard,
                    zone: endpoint.zone.clone(),
                    usable_until: finished_at.plus_ms(usable_ms as u64),
                }))
            }
            Err(error) => {
                self.record_endpoint_failure(context, endpoint, &error);
                Ok(None)
            }
        }
    }

    /// Returns the prompt tokens of all requests at an engine that await prefill.
    fn queued_prompt_tokens(&self, placement: &Placement) -> u64 {
        let balancer = self.parts.balancer.borrow();
        let state = balancer.endpoint(&placement.endpoint.id);
        state.map_or(0, |state| state.load().prompt_tokens)
    }

    async fn exchange_prefill(
        &self,
        context: &RequestContext<C>,
        placement: &Placement,
        until: Instant,
    ) -> Result<SmolStr, EndpointError> {
        let outgoing = EndpointRequest {
            request: &context.request,
            organisation: context.organisation(),
            endpoint: &placement.endpoint,
            stage: Stage::Prefill,
            last_event: None,
            memory_reservation: None,
            deadline: context.deadline,
        };
        let (connection, response) = self.parts.endpoints.send(&outgoing, until).await?;
        let endpoint = &placement.endpoint;
        let (head, body) = self.read_full_response(endpoint, connection, response, until).await?;
        if head.status != StatusCode::OK {
            return Err(EndpointError::NotRun);
        }
        let prefill_output = self.codec().read_prefill_output(&body);
        prefill_output.map(|prefill_output| prefill_output.handle).ok_or(EndpointError::Mismatched)
    }

    /// Starts the generation at a decode engine and waits for the first events.
    async fn decode(
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
            let until = context.deadline;
            let answer = self.read_response(endpoint, connection, response, until).await?;
            return Ok(Opened::NonStream(answer));
        }
        let (head, mut body) = response.into_parts();
        let endpoint = placement.endpoint;
        let mut splitter = progress.continuation();
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
                Some(Ok(frame)) => match frame.data_ref().and_then(|data| splitter.push(data)) {
                    Some(events) => (events, false),
                    None if splitter.is_overlong() || splitter.is_out_of_order() => {
                        return Err(EndpointError::Mismatched);
                    }
                    None => continue,
                },
            };
            load.remove_prompt_load();
            return Ok(Opened::Stream(Box::new(OpenStream {
                endpoint,
                connection,
                head,
                body,
                splitter,
                first_events,
                has_ended,
                load,
            })));
        }
    }
}

fn prompt_tokens<C: Clock>(context: &RequestContext<C>) -> u64 {
    context.request.generation.as_ref().map_or(0, |size| size.prompt_tokens)
}

/// Returns the queue penalty that orders a request behind smaller ones.
fn queue_penalty_ms<C: Clock>(context: &RequestContext<C>) -> u64 {
    let size = context.request.generation.as_ref();
    let tokens = size.and_then(|size| size.expected_output_tokens).unwrap_or(0);
    (tokens as f64 * QUEUE_PENALTY_MS_PER_TOKEN) as u64
}

/// Returns the KV cache memory that the generation needs at a decode engine.
pub(super) fn estimate_memory<C: Clock>(context: &RequestContext<C>) -> MemoryEstimate {
    let capacity = context.service.engine.map_or(u64::MAX, |engine| engine.kv_capacity.get());
    context.request.generation.as_ref().map_or(MemoryEstimate::new(0, None, 0, capacity), |size| {
        let expected_output = size.expected_output_tokens;
        MemoryEstimate::new(size.prompt_tokens, expected_output, size.max_output_tokens, capacity)
    })
}
