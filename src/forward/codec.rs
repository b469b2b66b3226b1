use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, StatusCode};
use smol_str::SmolStr;

use crate::balance::EndpointNotice;
use crate::catalog::Endpoint;
use crate::clock::Instant;
use crate::forward::{CallerRequest, EndpointRequest, KvSource};
use crate::roles::{EngineReport, OrderResponse, RoleOrder};

/// A caller's request could not be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct MalformedRequest {
    pub reason: &'static str,
}

/// Classification of an endpoint's response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The endpoint ran the request, or failed while running it.
    Own,
    /// The endpoint did not run the request and will not.
    NotRun,
    /// A different endpoint now uses the address; it did not run the request.
    WrongEndpoint,
    /// The response belongs to another request, was not produced by the endpoint, or does not tell
    /// whether the endpoint ran the request.
    Mismatched,
}

/// Result of a prefill request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillOutput {
    pub handle: SmolStr,
}

/// Parses callers' requests and endpoints' responses, and builds requests to endpoints.
pub trait Codec: 'static {
    /// Parses the head of a request. The forwarder adds the body after it has arrived.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, MalformedRequest>;

    /// Builds the request to an endpoint; `None` if a value is not valid in a header.
    fn write_request(
        &self,
        outgoing: &EndpointRequest<'_>,
        now: Instant,
    ) -> Option<Request<Full<Bytes>>>;

    /// Builds a request that frees a KV cache.
    fn release_request(&self, source: &KvSource) -> Option<Request<Full<Bytes>>>;

    /// Builds a request that reserves memory for `tokens` tokens at an endpoint.
    fn reserve_memory_request(
        &self,
        endpoint: &Endpoint,
        tokens: u64,
        ttl_ms: u64,
    ) -> Option<Request<Full<Bytes>>>;

    /// Returns the id of the reservation from the response body.
    fn read_memory_reservation(&self, body: &[u8]) -> Option<SmolStr>;

    /// Builds a request that cancels a memory reservation.
    fn cancel_reservation_request(
        &self,
        endpoint: &Endpoint,
        reservation: &str,
    ) -> Option<Request<Full<Bytes>>>;

    /// Builds a request for an engine's status report.
    fn report_request(&self, endpoint: &Endpoint) -> Option<Request<Full<Bytes>>>;

    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Builds a request that orders an engine to change its role.
    fn order_request(&self, endpoint: &Endpoint, order: &RoleOrder)
    -> Option<Request<Full<Bytes>>>;

    fn read_order_response(&self, status: StatusCode) -> OrderResponse;

    /// Classifies the response to a caller's request. `is_first_use` tells whether the connection
    /// has carried no request before; otherwise a response that does not name its request may be a
    /// repeated response to an earlier one.
    fn response_kind(
        &self,
        head: &response::Parts,
        request: &CallerRequest,
        is_first_use: bool,
    ) -> ResponseKind;

    /// Returns whether a response carries its endpoint's signature. To the caller a success without
    /// it does not count.
    fn is_signed(&self, head: &response::Parts) -> bool;

    /// Returns whether a response names a caller's request, so that it cannot belong to a request
    /// of the instance itself.
    fn answers_caller_request(&self, head: &response::Parts) -> bool;

    /// Returns what a response says about its endpoint.
    fn read_notice(&self, head: &response::Parts) -> EndpointNotice;

    fn read_prefill_output(&self, body: &[u8]) -> Option<PrefillOutput>;

    /// Returns the headers of an endpoint's response that are forwarded to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
