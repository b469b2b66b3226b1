//! Reading of endpoints' responses that are no event streams.

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;

use crate::catalog::{Endpoint, RowDecoder};
use crate::clock::{Clock, Instant};
use crate::forward::connection::Connection;
use crate::forward::endpoint_body::read_endpoint_body;
use crate::forward::{Codec, EndpointError, Forwarder};
use crate::http::ResponseBody;

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
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
}
