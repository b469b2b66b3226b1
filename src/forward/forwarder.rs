use std::cell::RefCell;
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

use crate::balance::{Balancer, RetryLimits, RetryWindow, WaitQueue};
use crate::catalog::{Catalog, Customer, RouteKind, RowDecoder, ServiceConfiguration};
use crate::clock::{Clock, Instant};
use crate::forward::connection::Connection;
use crate::forward::endpoint_body::read_endpoint_body;
use crate::forward::request_context::{QuotaCharge, RequestContext};
use crate::forward::request_log::RequestLog;
use crate::forward::{
    CallerRequest, Codec, ConnectionPool, CrashCounts, EndpointError, EndpointRequest, Refusal,
    RequestLabels, ResponseKind,
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
/// Time after the deadline of an attempt in which the endpoint's own response may still arrive.
const RESPONSE_GRACE_MS: u64 = 150;

/// Components of an instance that the forwarder uses.
pub struct ForwarderParts<K, D, C> {
    pub codec: K,
    pub catalog: Rc<Catalog<D, C>>,
    pub balancer: Rc<RefCell<Balancer>>,
    pub quotas: Rc<RefCell<Quotas>>,
    pub crashes: Rc<RefCell<CrashCounts>>,
    pub connections: Rc<ConnectionPool<C>>,
    pub retry_limits: RetryLimits,
    pub clock: C,
}

/// Handles callers' requests: admits them and forwards them to endpoints.
pub struct Forwarder<K, D, C> {
    pub(super) parts: ForwarderParts<K, D, C>,
    retry_windows: RefCell<HashMap<ServiceId, RetryWindow>>,
    /// Queues of generations that wait for an engine, by service.
    wait_queues: RefCell<HashMap<ServiceId, WaitQueue>>,
    labels: Rc<RequestLabels>,
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    pub fn new(parts: ForwarderParts<K, D, C>) -> Rc<Forwarder<K, D, C>> {
        Rc::new(Forwarder {
            parts,
            retry_windows: RefCell::default(),
            wait_queues: RefCell::default(),
            labels: Rc::default(),
        })
    }

    async fn serve(
        self: &Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let parts = &self.parts;
        let (head, body) = request.into_parts();
        let configuration = parts.catalog.configuration().ok_or(Refusal::NoConfiguration)?;
        let mut request = parts
            .codec
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
        let parts = &self.parts;
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
        let crashes = parts.crashes.borrow();
        if !crashes.is_empty() && crashes.is_refused(CrashCounts::fingerprint(request)) {
            return Err(Refusal::CrashesEndpoints);
        }
        drop(crashes);
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
        let mut windows = self.retry_windows.borrow_mut();
        let window = windows.entry(service.id.clone()).or_default();
        window.record_request(now, &self.parts.retry_limits);
        RequestContext {
            request,
            route,
            service,
            customer,
            deadline,
            charge,
            log,
            sends: 0,
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

    /// Counts a send and returns whether it is within the service's retry limit. The first send is
    /// always allowed.
    pub(super) fn allow_send(&self, context: &mut RequestContext<C>) -> bool {
        if context.sends > 0 {
            let now = self.parts.clock.now();
            let instances = self.parts.balancer.borrow().instances();
            let mut windows = self.retry_windows.borrow_mut();
            let window = windows.entry(context.service.id.clone()).or_default();
            if !window.try_acquire(now, &self.parts.retry_limits, instances) {
                return false;
            }
        }
        context.sends += 1;
        true
    }

    pub fn codec(&self) -> &K {
        &self.parts.codec
    }

    pub(super) fn wait_queue(&self, service: &ServiceId) -> WaitQueue {
        self.wait_queues.borrow_mut().entry(service.clone()).or_default().clone()
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

    /// Sends a request to an endpoint and returns the head of its response. Fails if the endpoint
    /// did not run the request, or with a timeout after `until` and a short grace period.
    pub(super) async fn send_to_endpoint(
        &self,
        outgoing: &EndpointRequest<'_>,
        until: Instant,
    ) -> Result<(Connection, Response<Incoming>), EndpointError> {
        let parts = &self.parts;
        let now = parts.clock.now();
        let request = parts
            .codec
            .write_request(outgoing, now)
            .ok_or(EndpointError::NotSent { reason: "failed to encode the request".into() })?;
        let sent = parts.connections.send(outgoing.endpoint.address, request);
        let limit = until.remaining(now) + Duration::from_millis(RESPONSE_GRACE_MS);
        let (connection, response) =
            tokio::time::timeout(limit, sent).await.map_err(|_| EndpointError::Timeout)??;
        let (head, body) = response.into_parts();
        match parts.codec.response_kind(&head, outgoing.request) {
            ResponseKind::Own => Ok((connection, Response::from_parts(head, body))),
            ResponseKind::Mismatched => Err(EndpointError::Mismatched),
            kind => {
                // The body is short. Reading it allows the connection to be reused.
                let read =
                    tokio::time::timeout(Duration::from_millis(50), read_endpoint_body(body)).await;
                if matches!(read, Ok(Ok(_))) {
                    parts.connections.put_idle(connection, &head.headers);
                }
                match kind {
                    ResponseKind::WrongEndpoint => Err(EndpointError::WrongEndpoint),
                    _ => Err(EndpointError::NotRun),
                }
            }
        }
    }

    /// Reads the body of a response and returns its connection to the pool.
    pub(super) async fn read_full_response(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        until: Instant,
    ) -> Result<(response::Parts, Bytes), EndpointError> {
        let (head, body) = response.into_parts();
        let limit = until.remaining(self.parts.clock.now());
        let body = tokio::time::timeout(limit, read_endpoint_body(body)).await;
        let body = body.map_err(|_| EndpointError::Timeout)??;
        self.parts.connections.put_idle(connection, &head.headers);
        Ok((head, body))
    }

    /// Reads the body of an endpoint's response and builds the response to the caller.
    pub(super) async fn read_response(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        until: Instant,
    ) -> Result<Response<ResponseBody>, EndpointError> {
        let (head, body) = self.read_full_response(connection, response, until).await?;
        let mut answer = Response::new(ResponseBody::full(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.parts.codec.response_headers(&head.headers);
        Ok(answer)
    }

    /// Updates the state of the endpoint and the crash counts of the request after a failed
    /// attempt, and excludes the endpoint from further attempts.
    pub(super) fn record_endpoint_failure(
        &self,
        context: &mut RequestContext<C>,
        failed_endpoint: &crate::catalog::Endpoint,
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
            self.parts.connections.close_idle(failed_endpoint.address);
        }
        if matches!(error, EndpointError::Broken { .. }) {
            let fingerprint = CrashCounts::fingerprint(&context.request);
            self.parts.crashes.borrow_mut().record_crash(fingerprint, now);
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
