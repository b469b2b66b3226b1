//! Requests and answers of the stand-ins as JSON.

use derive_more::{Display, Error};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::ResponseBody;
use crate::units::FencingToken;

const MAX_BODY_BYTES: usize = 64 << 20;

/// A call that a stand-in refuses, as a status and the code in the body.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("{status}: {code}")]
pub struct Refusal {
    pub status: StatusCode,
    pub code: &'static str,
    pub newest_fencing: FencingToken,
}

#[derive(Serialize)]
struct RefusalBody {
    code: &'static str,
    newest_fencing: FencingToken,
}

pub type Answer = Result<Response<ResponseBody>, Refusal>;

impl Refusal {
    pub fn new(status: StatusCode, code: &'static str) -> Refusal {
        Refusal { status, code, newest_fencing: FencingToken::default() }
    }

    pub fn response(self) -> Response<ResponseBody> {
        let body = RefusalBody { code: self.code, newest_fencing: self.newest_fencing };
        json_with(self.status, &body)
    }
}

pub fn not_found() -> Refusal {
    Refusal::new(StatusCode::NOT_FOUND, "not_found")
}

pub fn respond(status: StatusCode, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

pub fn json_with<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => respond(status, ResponseBody::full(bytes)),
        Err(_) => respond(StatusCode::INTERNAL_SERVER_ERROR, ResponseBody::empty()),
    }
}

pub fn json<T: Serialize>(value: &T) -> Answer {
    Ok(json_with(StatusCode::OK, value))
}

/// Reads a request's body; a broken or oversized body is refused.
pub async fn read_bytes(request: Request<Incoming>) -> Result<bytes::Bytes, Refusal> {
    match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(Refusal::new(StatusCode::BAD_REQUEST, "broken_body")),
    }
}

pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Refusal> {
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes).map_err(|error| {
        log::warn!(target: "standin", "malformed body: {error}");
        Refusal::new(StatusCode::BAD_REQUEST, "malformed_body")
    })
}
