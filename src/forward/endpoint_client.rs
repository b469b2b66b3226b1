use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{HeaderMap, Request, Response, StatusCode};

use crate::balance::{Balancer, IncarnationKey};
use crate::catalog::Endpoint;
use crate::clock::{Clock, Instant};
use crate::forward::connection::Connection;
use crate::forward::{
    Codec, ConnectionPool, EndpointError, EndpointRequest, ResponseKind, Stage, read_endpoint_body,
};

/// Time after the deadline of an attempt in which the endpoint's own response may still arrive.
const RESPONSE_GRACE_MS: u64 = 150;
/// Timeout for the body of a rejection, which is read so that the connection can be used again.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Components that the client uses.
pub struct EndpointClientParts<K, C> {
    pub codec: K,
    pub balancer: Rc<RefCell<Balancer>>,
    pub connections: ConnectionPool<C>,
    pub clock: C,
}

/// Exchanges messages with endpoints. Applies what each response says about its endpoint, and keeps
/// connections for further requests.
pub struct EndpointClient<K, C> {
    parts: EndpointClientParts<K, C>,
    /// Endpoints whose implausible pauses have been logged.
    implausible: RefCell<HashSet<IncarnationKey>>,
}

impl<K: Codec, C: Clock> EndpointClient<K, C> {
    pub fn new(parts: EndpointClientParts<K, C>) -> EndpointClient<K, C> {
        EndpointClient { parts, implausible: RefCell::default() }
    }

    pub fn codec(&self) -> &K {
        &self.parts.codec
    }

    /// Sends a caller's request and returns the head of the endpoint's response. Fails if the
    /// endpoint did not run the request, or with a timeout after `until` and a short grace period.
    pub async fn send(
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
        let is_first_use = connection.is_first_use();
        let kind = parts.codec.response_kind(&head, outgoing.request, is_first_use);
        self.apply_notice(outgoing.endpoint, &head);
        if kind == ResponseKind::Mismatched {
            return Err(EndpointError::Mismatched);
        }
        if kind == ResponseKind::Own {
            // The response to a prefill is for the instance and carries no signature.
            let is_for_caller = outgoing.stage != Stage::Prefill;
            if is_for_caller && head.status.is_success() && !parts.codec.is_signed(&head) {
                return Err(EndpointError::Mismatched);
            }
            return Ok((connection, Response::from_parts(head, body)));
        }
        let read = tokio::time::timeout(REJECTION_BODY_TIMEOUT, read_endpoint_body(body)).await;
        if matches!(read, Ok(Ok(_))) {
            self.keep(outgoing.endpoint, connection, &head.headers);
        }
        Err(match kind {
            ResponseKind::WrongEndpoint => EndpointError::WrongEndpoint,
            _ => EndpointError::NotRun,
        })
    }

    /// Sends a request of the instance itself, such as a reservation, and reads the whole response.
    /// Sends nothing while the endpoint wants no requests.
    pub async fn call(
        &self,
        endpoint: &Endpoint,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), EndpointError> {
        let sent = self.parts.connections.send(endpoint.address, request);
        self.exchange(endpoint, sent, limit).await
    }

    /// Does the same on a new connection. The responses to such requests do not name them, so that
    /// on a used connection the late repetition of an earlier response would not be recognised.
    pub async fn call_on_new_connection(
        &self,
        endpoint: &Endpoint,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), EndpointError> {
        let sent = self.parts.connections.send_on_new(endpoint.address, request);
        self.exchange(endpoint, sent, limit).await
    }

    async fn exchange(
        &self,
        endpoint: &Endpoint,
        sent: impl Future<Output = Result<(Connection, Response<Incoming>), EndpointError>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), EndpointError> {
        let now = self.parts.clock.now();
        if self.parts.balancer.borrow().is_paused(endpoint, now) {
            return Err(EndpointError::NotSent { reason: "the endpoint wants no requests".into() });
        }
        let exchange = async {
            let (connection, response) = sent.await?;
            let (head, body) = response.into_parts();
            if self.parts.codec.answers_caller_request(&head) {
                return Err(EndpointError::Mismatched);
            }
            self.apply_notice(endpoint, &head);
            let body = read_endpoint_body(body).await?;
            self.keep(endpoint, connection, &head.headers);
            Ok((head.status, body))
        };
        tokio::time::timeout(limit, exchange).await.map_err(|_| EndpointError::Timeout)?
    }

    fn apply_notice(&self, endpoint: &Endpoint, head: &response::Parts) {
        // Another endpoint at the same address sends this status.
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let notice = self.parts.codec.read_notice(head);
        if notice.is_implausible()
            && self.implausible.borrow_mut().insert(IncarnationKey::new(endpoint))
        {
            log::warn!(target: "forward", endpoint = endpoint.id.as_str(),
                retry_after = format!("{:?}", notice.retry_after).as_str();
                "implausible pause requested by endpoint");
        }
        let now = self.parts.clock.now();
        if self.parts.balancer.borrow_mut().apply_notice(endpoint, &notice, now) {
            log::info!(target: "balance", endpoint = endpoint.id.as_str();
                "endpoint leaving: announced in a response");
            self.close_idle(endpoint.address);
        }
    }

    /// Keeps a connection for further requests after its response was read completely, unless the
    /// endpoint is leaving.
    pub fn keep(&self, endpoint: &Endpoint, connection: Connection, headers: &HeaderMap) {
        if !self.parts.balancer.borrow().has_left_notice(endpoint) {
            self.parts.connections.put_idle(connection, headers);
        }
    }

    /// Closes the idle connections to an endpoint that failed or is leaving. If one connection has
    /// stopped responding, others of the same age may have too.
    pub fn close_idle(&self, address: SocketAddr) {
        self.parts.connections.close_idle(address);
    }

    /// Closes connections that are past their reuse time or were closed by the endpoint.
    pub fn close_expired(&self) {
        self.parts.connections.close_expired();
    }
}
