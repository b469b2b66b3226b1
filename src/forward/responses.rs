//! Reading of endpoints' responses that are no event streams.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::http::response;

use crate::catalog::{Endpoint, RowDecoder};
use crate::clock::{Clock, Instant};
use crate::forward::answer_buffer::AnswerBuffer;
use crate::forward::connection::Connection;
use crate::forward::endpoint_body::{MAX_RESPONSE_BYTES, read_endpoint_body};
use crate::forward::request_context::{LoadGuard, RequestContext};
use crate::forward::rest_relay::RestRelay;
use crate::forward::{Codec, EndpointError, Forwarder};
use crate::http::{Blocks, ResponseBody};

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Reads the body of a response to the instance itself and returns its connection to the pool.
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

    /// Reads the body of an endpoint's response and builds the response to the caller. A body for
    /// which there is no memory is passed on as it arrives, no faster than the caller reads it. It
    /// can then no longer be replaced by another endpoint's response.
    pub(super) async fn read_response(
        &self,
        context: &RequestContext<C>,
        endpoint: &Rc<Endpoint>,
        connection: Connection,
        response: Response<Incoming>,
        load: Option<LoadGuard>,
    ) -> Result<Response<ResponseBody>, EndpointError> {
        let (head, mut body) = response.into_parts();
        let declared_bytes = body.size_hint().exact();
        let mut answer = Response::new(ResponseBody::empty());
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.codec().response_headers(&head.headers);
        let mut buffer = AnswerBuffer::new(&context.memory);
        loop {
            let limit = context.deadline.remaining(self.parts.clock.now());
            let frame = tokio::time::timeout(limit, body.frame()).await;
            let data = match frame.map_err(|_| EndpointError::Timeout)? {
                None => break,
                Some(Err(error)) => {
                    return Err(EndpointError::Broken { reason: error.to_string().into() });
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if buffer.length_bytes() + data.len() > MAX_RESPONSE_BYTES {
                return Err(EndpointError::Mismatched);
            }
            if buffer.push(&data) {
                continue;
            }
            let relay = RestRelay {
                endpoints: Rc::clone(&self.parts.endpoints),
                endpoint: Rc::clone(endpoint),
                connection,
                headers: head.headers,
                body,
                received_bytes: buffer.length_bytes() + data.len(),
                memory: context.memory.clone(),
                deadline: context.deadline,
                clock: self.parts.clock.clone(),
                _load: load,
            };
            let rest = Some(relay.start(data));
            let (received, length_bytes) = (buffer.into_blocks(), declared_bytes);
            *answer.body_mut() = ResponseBody::Blocks(Blocks { received, rest, length_bytes });
            return Ok(answer);
        }
        self.parts.endpoints.keep(endpoint, connection, &head.headers);
        let length_bytes = Some(buffer.length_bytes() as u64);
        let received = buffer.into_blocks();
        *answer.body_mut() = ResponseBody::Blocks(Blocks { received, rest: None, length_bytes });
        Ok(answer)
    }
}
