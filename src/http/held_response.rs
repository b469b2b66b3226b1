use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::http::refused_clients::record_refused_client;
use crate::http::{RequestMemory, ResponseBody};

/// Responses up to this size fit into the memory of their connections.
const UNCHARGED_BYTES: usize = 4 << 10;
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// Charges a response that the instance has made itself, or replaces it by a refusal if there is no
/// room for it. Responses of endpoints are charged as they arrive.
pub(super) fn hold_response(
    mut response: Response<ResponseBody>,
    memory: &RequestMemory,
) -> Response<ResponseBody> {
    let ResponseBody::Full(Some(bytes)) = response.body_mut() else { return response };
    if bytes.len() <= UNCHARGED_BYTES {
        return response;
    }
    if let Some(held) = memory.copy(bytes) {
        *bytes = held;
        return response;
    }
    record_refused_client("response_memory");
    let mut refusal = Response::new(ResponseBody::empty());
    *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    refusal.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
    refusal
}
