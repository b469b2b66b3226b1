//! Handles callers' requests from their heads to the choice of how they are forwarded.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response};
use smol_str::ToSmolStr;

use crate::admission::DemandBoard;
use crate::balance::{Balancer, RetryLimits, RetryWindow, WaitQueue};
use crate::catalog::{Catalog, RouteKind, RowDecoder};
use crate::clock::{Clock, Instant};
use crate::crashes::CrashingParts;
use crate::forward::end_detector::EndDetector;
use crate::forward::request_log::RequestLog;
use crate::forward::{Codec, CrashCounts, EndpointClient, Refusal, RequestLabels};
use crate::http::{Handler, RequestMemory, ResponseBody};
use crate::quota::Quotas;
use crate::rollout::Rollouts;
use crate::units::ServiceId;

/// Components of an instance that the forwarder uses.
pub struct ForwarderParts<K, D, C> {
    pub endpoints: Rc<EndpointClient<K, C>>,
    pub catalog: Rc<Catalog<D, C>>,
    pub balancer: Rc<RefCell<Balancer>>,
    pub quotas: Rc<RefCell<Quotas>>,
    pub crashes: Rc<RefCell<CrashCounts>>,
    pub crashing_parts: Rc<RefCell<CrashingParts>>,
    pub rollouts: Rc<RefCell<Rollouts>>,
    pub retry_limits: RetryLimits,
    /// Time from which on this instance uses its part of the retries that do not depend on the
    /// number of requests.
    pub extra_retries_from: Instant,
    pub clock: C,
}

/// Handles callers' requests: admits them and forwards them to endpoints.
pub struct Forwarder<K, D, C> {
    pub(super) parts: ForwarderParts<K, D, C>,
    pub(super) retry_windows: RefCell<HashMap<ServiceId, RetryWindow>>,
    /// Queues of generations that wait for an engine, by service.
    wait_queues: RefCell<HashMap<ServiceId, WaitQueue>>,
    pub(super) demand: RefCell<DemandBoard>,
    /// Whether requests that arrive now could outlast the instance and are refused.
    pub(super) is_closed: Cell<bool>,
    labels: Rc<RequestLabels>,
    pub(super) end_detector: EndDetector<C>,
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
            demand: RefCell::default(),
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
        let (mut head, body) = request.into_parts();
        let memory: RequestMemory = head.extensions.remove().unwrap_or_default();
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
        let context = match self.admit(&configuration, &mut request, body, &memory, &mut log).await
        {
            Ok(admitted) => self.context(request, admitted, memory, log),
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

    pub fn codec(&self) -> &K {
        self.parts.endpoints.codec()
    }

    pub(super) fn wait_queue(&self, service: &ServiceId) -> WaitQueue {
        self.wait_queues.borrow_mut().entry(service.clone()).or_default().clone()
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
