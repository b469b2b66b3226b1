//! HTTP handlers for callers, peers and metrics.

use std::net::SocketAddr;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{
    ACCEPT_ENCODING, CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue,
};
use hyper::{Request, Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::clock::Clock;
use crate::forward::Refusal;
use crate::http::{Handler, ResponseBody};
use crate::node::{NodeState, PlatformAdapter};
use crate::replica::{SnapshotEncoding, Topic};

/// Path prefix under which peers read replicas; the topic follows.
pub(super) const REPLICA_PATH_PREFIX: &str = "/replica/";
/// Content coding of compressed replicas. Instances of earlier versions neither ask for it nor send
/// it.
pub(super) const DEFLATE: &str = "deflate";

/// Forwards callers' requests. While the instance drains, responses close their connections.
pub(super) struct CallerHandler<A: PlatformAdapter, C: Clock>(pub Rc<NodeState<A, C>>);

/// Decrements the number of requests in flight on drop, also if the request is cancelled.
struct InFlightGuard<'a, A: PlatformAdapter, C: Clock>(&'a NodeState<A, C>);

impl<A: PlatformAdapter, C: Clock> Drop for InFlightGuard<'_, A, C> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl<A: PlatformAdapter, C: Clock> Handler for CallerHandler<A, C> {
    async fn handle(
        &self,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<ResponseBody> {
        self.0.in_flight.set(self.0.in_flight.get() + 1);
        self.0.last_request_at.set(self.0.clock.now());
        let _guard = InFlightGuard(&self.0);
        let mut response = tokio::select! {
            response = self.0.forwarder.handle(request, remote) => response,
            () = self.0.grace_ended.notified() => Refusal::Stopped.response(),
        };
        if self.0.is_leaving.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// The content coding of replicas that a header names.
pub(super) fn snapshot_encoding(headers: &HeaderMap, name: &HeaderName) -> SnapshotEncoding {
    match headers.get(name) {
        Some(coding) if coding == DEFLATE => SnapshotEncoding::Deflate,
        _ => SnapshotEncoding::Plain,
    }
}

/// Serves snapshots of this instance's replicas to peers.
pub(super) struct PeerHandler<A: PlatformAdapter, C: Clock>(pub Rc<NodeState<A, C>>);

impl<A: PlatformAdapter, C: Clock> Handler for PeerHandler<A, C> {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<ResponseBody> {
        let topic = request.uri().path().strip_prefix(REPLICA_PATH_PREFIX);
        let topic = topic.and_then(|name| Topic::ALL.into_iter().find(|t| t.to_string() == name));
        let Some(topic) = topic else { return empty_response(StatusCode::NOT_FOUND) };
        let encoding = snapshot_encoding(request.headers(), &ACCEPT_ENCODING);
        match self.0.follower(topic).encoded_snapshot(encoding) {
            Ok(bytes) => {
                let mut response = Response::new(ResponseBody::full(bytes));
                if encoding == SnapshotEncoding::Deflate {
                    let deflate = HeaderValue::from_static(DEFLATE);
                    response.headers_mut().insert(CONTENT_ENCODING, deflate);
                }
                response
            }
            Err(error) => {
                log::error!(target: "fleet", "failed to encode replica: {error}");
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

/// Serves the metrics of the process.
pub(super) struct MetricsHandler(pub PrometheusHandle);

impl Handler for MetricsHandler {
    async fn handle(&self, _: Request<Incoming>, _: SocketAddr) -> Response<ResponseBody> {
        Response::new(ResponseBody::full(self.0.render()))
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = status;
    response
}
