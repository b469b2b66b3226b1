use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, StatusCode};
use smol_str::SmolStr;

use crate::catalog::Endpoint;
use crate::clock::Instant;
use crate::forward::{CallerRequest, EndpointRequest, KvSource};
use crate::roles::{EngineReport, OrderAnswer, RoleOrder};

/// A caller's request that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct MalformedRequest {
    pub reason: &'static str,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The endpoint ran the request, or failed while it did.
    Own,
    /// The endpoint did not run the request and will not.
    NotRun,
    /// Another endpoint has the address; the request was not run.
    WrongEndpoint,
    /// The answer belongs to another request, or is no answer of the endpoint.
    Mismatched,
}

/// A prompt that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillOutput {
    pub handle: SmolStr,
}

/// Reads callers' requests and endpoints' answers and writes requests to endpoints.
pub trait Codec: 'static {
    /// Reads the head; the body is added when it has arrived.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, MalformedRequest>;

    fn write_request(
        &self,
        outgoing: &EndpointRequest<'_>,
        now: Instant,
    ) -> Option<Request<Full<Bytes>>>;

    /// Request that frees a KV cache.
    fn release_request(&self, source: &KvSource) -> Option<Request<Full<Bytes>>>;

    /// Request that sets memory aside at an endpoint.
    fn reserve_memory_request(
        &self,
        endpoint: &Endpoint,
        tokens: u64,
        ttl_ms: u64,
    ) -> Option<Request<Full<Bytes>>>;

    /// The name of the memory that was set aside.
    fn read_memory_reservation(&self, body: &[u8]) -> Option<SmolStr>;

    /// Request that gives up memory that was set aside.
    fn cancel_reservation_request(
        &self,
        endpoint: &Endpoint,
        hold: &str,
    ) -> Option<Request<Full<Bytes>>>;

    /// Request for an engine's report on itself.
    fn report_request(&self, endpoint: &Endpoint) -> Option<Request<Full<Bytes>>>;

    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Request that orders an engine to change its role.
    fn order_request(&self, endpoint: &Endpoint, order: &RoleOrder)
    -> Option<Request<Full<Bytes>>>;

    fn read_order_response(&self, status: StatusCode) -> OrderAnswer;

    fn response_kind(&self, head: &response::Parts, request: &CallerRequest) -> ResponseKind;

    fn read_prefill_output(&self, body: &[u8]) -> Option<PrefillOutput>;

    /// Headers of an answer that the caller gets.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
