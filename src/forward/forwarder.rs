use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::http::response;
use hyper::{Request, Response};
use rand::Rng;
use smol_str::ToSmolStr;

use crate::balance::{
    Balancer, PlacementError, RetryLimits, RetryWindow, SendCount, SendKind, SendOutcome,
    StartedSend, WaitQueue,
};
use crate::catalog::{Catalog, Customer, Endpoint, RouteKind, RowDecoder, ServiceConfiguration};
use crate::clock::{Clock, Instant};
use crate::crashes::{CrashingParts, PartKey};
use crate::forward::connection::Connection;
use crate::forward::end_detector::EndDetector;
use crate::forward::endpoint_body::read_endpoint_body;
use crate::forward::request_context::{QuotaCharge, RequestContext};
use crate::forward::request_log::RequestLog;
use crate::forward::{
    CallerRequest, Codec, CrashCounts, EndpointClient, EndpointError, Refusal, RequestLabels,
};
use crate::http::{Handler, ResponseBody};
use crate::quota::Quotas;
use crate::units::{ServiceId, Tokens};

/// Minimum `Retry-After` for services that do not generate tokens, and the maximum random delay
/// added to it so that callers do not retry at the same time.
const MIN_RETRY_AFTER_MS: u64 = 250;
const RETRY_AFTER_SPREAD_MS: u64 = 500;
/// The same for generations. Engines stay full for the duration of a burst, typically some seconds,
/// because every generation occupies its memory for seconds.
const MIN_GENERATION_RETRY_AFTER_MS: u64 = 2_000;
const GENERATION_RETRY_AFTER_SPREAD_MS: u64 = 2_500;

/// Components of an instance that the forwarder uses.
pub struct ForwarderParts<K, D, C> {
    pub endpoints: Rc<EndpointClient<K, C>>,
    pub catalog: Rc<Catalog<D, C>>,
    pub balancer: Rc<RefCell<Balancer>>,
    pub quotas: Rc<RefCell<Quotas>>,
    pub crashes: Rc<RefCell<CrashCounts>>,
    pub crashing_parts: Rc<RefCell<CrashingParts>>,
    pub retry_limits: RetryLimits,
    /// Time from which on this instance uses its part of the retries that do not depend on the
    /// number of requests.
    pub extra_retries_from: Instant,
    pub clock: C,
}

/// Handles callers' requests: admits them and forwards them to endpoints.
pub struct Forwarder<K, D, C> {
    pub(super) parts: ForwarderParts<K, D, C>,
    retry_windows: RefCell<HashMap<ServiceId, RetryWindow>>,
    /// Queues of generations that wait for an engine, by service.
    wait_queues: RefCell<HashMap<ServiceId, WaitQueue>>,
    /// Whether requests that arrive now could outlast the instance and are refused.
    is_closed: Cell<bool>,
    labels: Rc<RequestLabels>,
    end_detector: EndDetector<C>,
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    pub fn new(parts: ForwarderParts<K, D, C>) -> Rc<Forwarder<K, D, C>> {
        let (crashes, crashing_parts) =
            (Rc::clone(&parts.crashes), Rc::clone(&parts.crashing_parts));
        Rc::new(Forwarder {
            end_detector: EndDetector::new(crashes, crashing_parts, parts.clock.clone()),
            parts,
            retry_windows: RefCell::default(),
            wait_queues: RefCell::default(),
            is_closed: Cell::new(false),
            labels: Rc::default(),
        })
    }

    /// Refuses all requests that have not arrived completely yet.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    async fn serve(
        self: &Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let parts = &self.parts;
        let (head, body) = request.into_parts();
        let configuration = parts.catalog.configuration().ok_or(Refusal::NoConfiguration)?;
        let mut request = self
            .codec()
            .read_request(&head)
            .map_err(|malformed| Refusal::Malformed { reason: malformed.reason })?;
        let mut log =
            RequestLog::new(parts.clock.clone(), Rc::clone(&self.labels), request.attempt.clone());
        log.configuration_version = configuration.version().0;
        if let Some(size) = &request.generation {
            log.size = size.to_smolstr();
        }
        let context = match self.admit(&configuration, &mut request, body, &mut log).await {
            Ok(admitted) => self.context(request, admitted, log),
            Err(refusal) => {
                log.set_outcome(refusal.code());
                return Err(refusal);
            }
        };
        match context.route.kind {
            RouteKind::Stream { .. } => self.run_stream(context).await,
            RouteKind::Idempotent | RouteKind::AtMostOnce => self.run_plain(context).await,
        }
    }

    /// Finds the route, customer and service of a request, reads its body and charges the quota.
    async fn admit(
        &self,
        configuration: &ServiceConfiguration,
        request: &mut CallerRequest,
        body: Incoming,
        log: &mut RequestLog<C>,
    ) -> Result<Admitted<C>, Refusal> {
        let route = configuration.find_route(&request.host, request.path());
        let route = Rc::clone(route.ok_or(Refusal::NoRoute)?);
        log.route = route.id.as_str().into();
        let customer = find_customer(configuration, request, route.is_public)?;
        if let Some(customer) = &customer {
            log.organisation = customer.organisation.as_str().into();
        }
        let service = route.select_service(rand::rng().random());
        let service = service.and_then(|id| configuration.service(id));
        let service = Rc::clone(service.ok_or_else(|| self.no_capacity(route.kind))?);
        let limits = configuration.limits();
        request.body = read_body(body, limits.body_limit_bytes, limits.receive_timeout_ms).await?;
        if self.is_closed.get() {
            return Err(Refusal::Leaving);
        }
        self.refuse_crashing(&service.id, request)?;
        let charge = self.charge(customer.as_deref(), request)?;
        Ok(Admitted { route, service, customer, charge })
    }

    fn context(
        &self,
        request: CallerRequest,
        admitted: Admitted<C>,
        log: RequestLog<C>,
    ) -> RequestContext<C> {
        let Admitted { route, service, customer, charge } = admitted;
        let wait_ms = request.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let deadline = log.started_at.plus_ms(wait_ms);
        let now = self.parts.clock.now();
        let limits = &self.parts.retry_limits;
        self.with_retry_window(&service.id, |window| window.record_request(now, limits));
        RequestContext {
            request,
            route,
            service,
            customer,
            deadline,
            charge,
            log,
            sends: SendCount::default(),
            runs: 0,
            excluded: Vec::new(),
        }
    }

    /// Charges the customer's quota for the request's tokens. Requests without a customer are free.
    fn charge(
        &self,
        customer: Option<&Customer>,
        request: &CallerRequest,
    ) -> Result<QuotaCharge<C>, Refusal> {
        let quotas = Rc::clone(&self.parts.quotas);
        let Some(customer) = customer else {
            return Ok(QuotaCharge {
                clock: self.parts.clock.clone(),
                quotas,
                organisation: None,
                tokens: Tokens(0),
                has_run: true,
            });
        };
        let tokens = match &request.generation {
            Some(size) => Tokens(size.prompt_tokens + size.max_output_tokens),
            None => customer.plain_tokens,
        };
        let now = self.parts.clock.now();
        let acquired = quotas.borrow_mut().try_acquire(&customer.organisation, tokens, now);
        if let Err(over_quota) = acquired {
            let spread_ms = rand::rng().random_range(0..=MIN_RETRY_AFTER_MS);
            let retry_after_ms = over_quota.retry_after_ms.max(MIN_RETRY_AFTER_MS) + spread_ms;
            return Err(Refusal::OverQuota { retry_after_ms });
        }
        let organisation = Some(customer.organisation.clone());
        let clock = self.parts.clock.clone();
        Ok(QuotaCharge { clock, quotas, organisation, tokens, has_run: false })
    }

    /// Refuses a request if endpoints have ended under it, or under parts that its prompt has.
    pub(super) fn refuse_crashing(
        &self,
        service: &ServiceId,
        request: &CallerRequest,
    ) -> Result<(), Refusal> {
        let now = self.parts.clock.now();
        let crashes = self.parts.crashes.borrow();
        let request_until = if crashes.is_empty() {
            None
        } else {
            crashes.refused_until(CrashCounts::fingerprint(request), now)
        };
        let crashing_parts = self.parts.crashing_parts.borrow();
        let parts_until = if crashing_parts.is_empty() {
            None
        } else {
            crashing_parts.refused_until(part_keys(service, request), now)
        };
        match request_until.max(parts_until) {
            Some(until) => Err(Refusal::CrashesEndpoints { retry_after_ms: until.ms_since(now) }),
            None => Ok(()),
        }
    }

    /// Records that an endpoint has begun the answer to a request.
    pub(super) fn record_begun(&self, context: &RequestContext<C>) {
        let mut crashing_parts = self.parts.crashing_parts.borrow_mut();
        if !crashing_parts.is_empty() {
            let parts = part_keys(&context.service.id, &context.request);
            crashing_parts.record_begun(parts, self.parts.clock.now());
        }
    }

    fn with_retry_window<T>(
        &self,
        service: &ServiceId,
        apply: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let mut windows = self.retry_windows.borrow_mut();
        let extra_from = self.parts.extra_retries_from;
        apply(windows.entry(service.clone()).or_insert_with(|| RetryWindow::new(extra_from)))
    }

    /// Counts a send to an endpoint; `None` if it would exceed the service's retry limit.
    pub(super) fn begin_send(
        &self,
        context: &mut RequestContext<C>,
        endpoint: &Endpoint,
        kind: SendKind,
    ) -> Option<StartedSend> {
        if context.sends.is_next_retry() {
            let now = self.parts.clock.now();
            let balancer = self.parts.balancer.borrow();
            let instances = balancer.instances();
            let acceptance = balancer
                .endpoint(&endpoint.id)
                .map_or(1.0, |state| state.acceptance.probability(now));
            let limits = &self.parts.retry_limits;
            let is_allowed = self.with_retry_window(&context.service.id, |window| {
                window.try_acquire(now, limits, instances, acceptance)
            });
            if !is_allowed {
                return None;
            }
        }
        Some(context.sends.begin(kind))
    }

    /// Records the outcome of a send at its endpoint and in the service's retry limit.
    pub(super) fn finish_send<T>(
        &self,
        context: &mut RequestContext<C>,
        endpoint: &Endpoint,
        send: StartedSend,
        result: &Result<T, EndpointError>,
    ) {
        let outcome = match result {
            Ok(_) => SendOutcome::Accepted,
            Err(EndpointError::NotSent { .. }) => SendOutcome::NotArrived,
            Err(_) => SendOutcome::NotAccepted,
        };
        if context.sends.finish(send, outcome) {
            self.with_retry_window(&context.service.id, RetryWindow::refund);
        }
        let is_accepted = match result {
            Ok(_) => true,
            Err(EndpointError::NotRun) => false,
            Err(_) => return,
        };
        let now = self.parts.clock.now();
        if let Some(state) = self.parts.balancer.borrow_mut().endpoint_mut(&endpoint.id) {
            state.acceptance.record(is_accepted, now);
        }
    }

    pub fn codec(&self) -> &K {
        self.parts.endpoints.codec()
    }

    pub(super) fn wait_queue(&self, service: &ServiceId) -> WaitQueue {
        self.wait_queues.borrow_mut().entry(service.clone()).or_default().clone()
    }

    /// Returns the refusal of a request that has not run while all endpoints want no requests:
    /// callers return shortly after the first of them accepts requests again.
    pub(super) fn paused_refusal(&self, until: Instant) -> Refusal {
        let pause_ms = until.ms_since(self.parts.clock.now());
        let spread_ms = rand::rng().random_range(0..=MIN_RETRY_AFTER_MS);
        Refusal::NoCapacity { retry_after_ms: pause_ms + spread_ms }
    }

    /// Returns the refusal for a request that cannot be placed.
    pub(super) fn placement_refusal(
        &self,
        context: &RequestContext<C>,
        error: PlacementError,
    ) -> Refusal {
        match error {
            PlacementError::AllPaused { until } if context.runs == 0 => self.paused_refusal(until),
            _ => self.capacity_refusal(context),
        }
    }

    /// Returns a refusal with a randomised retry delay.
    pub(super) fn no_capacity(&self, kind: RouteKind) -> Refusal {
        let (min_ms, spread_ms) = match kind {
            RouteKind::Stream { .. } => {
                (MIN_GENERATION_RETRY_AFTER_MS, GENERATION_RETRY_AFTER_SPREAD_MS)
            }
            _ => (MIN_RETRY_AFTER_MS, RETRY_AFTER_SPREAD_MS),
        };
        let spread_ms = rand::rng().random_range(0..spread_ms);
        Refusal::NoCapacity { retry_after_ms: min_ms + spread_ms }
    }

    /// Reads the body of a response and returns its connection to the pool.
    pub(super) async fn read_full_response(
        &self,
        endpoint: &Endpoint,
        connection: Connection,
        response: Response<Incoming>,
        until: Instant,
    ) -> Result<(response::Parts, Bytes), EndpointError> {
        let (head, body) = response.into_parts();
        let limit = until.remaining(self.parts.clock.now());
        let body = tokio::time::timeout(limit, read_endpoint_body(body)).await;
        let body = body.map_err(|_| EndpointError::Timeout)??;
        self.parts.endpoints.keep(endpoint, connection, &head.headers);
        Ok((head, body))
    }

    /// Reads the body of an endpoint's response and builds the response to the caller.
    pub(super) async fn read_response(
        &self,
        endpoint: &Endpoint,
        connection: Connection,
        response: Response<Incoming>,
        until: Instant,
    ) -> Result<Response<ResponseBody>, EndpointError> {
        let (head, body) = self.read_full_response(endpoint, connection, response, until).await?;
        let mut answer = Response::new(ResponseBody::full(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.codec().response_headers(&head.headers);
        Ok(answer)
    }

    /// Updates the state of the endpoint and the crash counts of the request after a failed
    /// attempt, and excludes the endpoint from further attempts.
    pub(super) fn record_endpoint_failure(
        &self,
        context: &mut RequestContext<C>,
        failed_endpoint: &Endpoint,
        error: &EndpointError,
    ) {
        let now = self.parts.clock.now();
        let mut balancer = self.parts.balancer.borrow_mut();
        if let Some(state) = balancer.endpoint_mut(&failed_endpoint.id) {
            match error {
                EndpointError::NotRun => state.backoff_until = now.plus_ms(FULL_BACKOFF_MS),
                EndpointError::WrongEndpoint => state.backoff_until = now.plus_ms(STALE_ENTRY_MS),
                _ => state.health.record_failure(now),
            }
        }
        if !matches!(error, EndpointError::NotRun) {
            self.parts.endpoints.close_idle(failed_endpoint.address);
        }
        if matches!(error, EndpointError::Broken { .. }) {
            let fingerprint = CrashCounts::fingerprint(&context.request);
            let parts = part_keys(&context.service.id, &context.request);
            self.end_detector.check(failed_endpoint, fingerprint, parts);
            if let Some(generation) = &context.request.generation {
                context.log.record_broken(generation);
            }
        }
        context.excluded.push(failed_endpoint.id.clone());
    }
}

/// Pause before sending to an endpoint again that rejected a request because it was full.
const FULL_BACKOFF_MS: u64 = 60;
/// Pause before sending to an endpoint again whose address is used by a different endpoint. The
/// endpoint's entry in the store is removed within this time.
const STALE_ENTRY_MS: u64 = 3_000;

/// Result of admitting a request.
struct Admitted<C: Clock> {
    route: Rc<crate::catalog::Route>,
    service: Rc<crate::catalog::Service>,
    customer: Option<Rc<Customer>>,
    charge: QuotaCharge<C>,
}

/// Returns the parts of a request's prompt that other requests of the service may have too.
fn part_keys(
    service: &ServiceId,
    request: &CallerRequest,
) -> impl Iterator<Item = PartKey> + Clone {
    let parts = request.generation.iter().flat_map(|generation| &generation.shared_parts);
    PartKey::all(service, parts)
}

/// Returns the customer of the request's key. Fails for an unknown key unless the route is public
/// or the configuration has no keys.
fn find_customer(
    configuration: &ServiceConfiguration,
    request: &CallerRequest,
    allows_anonymous: bool,
) -> Result<Option<Rc<Customer>>, Refusal> {
    if !configuration.requires_keys() {
        return Ok(None);
    }
    let customer = request.key.as_deref().and_then(|key| configuration.customer_by_key(key));
    match customer {
        Some(customer) => Ok(Some(Rc::clone(customer))),
        None if allows_anonymous => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

/// Reads a request body of at most `max_bytes` that arrives within `limit_ms`.
async fn read_body(body: Incoming, max_bytes: usize, limit_ms: u64) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let read = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(Duration::from_millis(limit_ms), read).await {
        Err(_) => Err(Refusal::Malformed { reason: "the body did not arrive in time" }),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) => Err(Refusal::Malformed { reason: "the body is broken off" }),
    }
}

impl<K: Codec, D: RowDecoder, C: Clock> Handler for Rc<Forwarder<K, D, C>> {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<ResponseBody> {
        match self.serve(request).await {
            Ok(response) => response,
            Err(refusal) => refusal.response(),
        }
    }
}
