//! JSON request bodies and HTTP responses of the stand-ins.

use derive_more::{Display, Error};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::ResponseBody;
use crate::units::FencingToken;

/// Largest request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64 << 20;

/// An error response: the HTTP status and the body with an error code.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("{status}: {code}")]
pub struct Refusal {
    pub status: StatusCode,
    pub code: &'static str,
    /// Highest fencing token seen; zero unless the code is `fenced`.
    pub newest_fencing: FencingToken,
}

#[derive(Serialize)]
struct RefusalBody {
    code: &'static str,
    newest_fencing: FencingToken,
}

/// Response of a handler, or the error response to send instead.
pub type HandlerResult = Result<Response<ResponseBody>, Refusal>;

impl Refusal {
    pub fn new(status: StatusCode, code: &'static str) -> Refusal {
        Refusal { status, code, newest_fencing: FencingToken::default() }
    }

    pub fn response(self) -> Response<ResponseBody> {
        let body = RefusalBody { code: self.code, newest_fencing: self.newest_fencing };
        json_with_status(self.status, &body)
    }
}

pub fn not_found() -> Refusal {
    Refusal::new(StatusCode::NOT_FOUND, "not_found")
}

pub fn build_response(status: StatusCode, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

pub fn json_with_status<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => build_response(status, ResponseBody::full(bytes)),
        Err(_) => build_response(StatusCode::INTERNAL_SERVER_ERROR, ResponseBody::empty()),
    }
}

pub fn json_response<T: Serialize>(value: &T) -> HandlerResult {
    Ok(json_with_status(StatusCode::OK, value))
}

/// Reads the request body. An incomplete or oversized body is an error.
pub async fn read_body(request: Request<Incoming>) -> Result<bytes::Bytes, Refusal> {
    match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(Refusal::new(StatusCode::BAD_REQUEST, "broken_body")),
    }
}

pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Refusal> {
    let bytes = read_body(request).await?;
    serde_json::from_slice(&bytes).map_err(|error| {
        log::warn!(target: "standin", "malformed body: {error}");
        Refusal::new(StatusCode::BAD_REQUEST, "malformed_body")
    })
}
