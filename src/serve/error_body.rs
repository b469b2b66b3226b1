use hyper::Response;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use serde::Serialize;

use crate::http::ResponseBody;
use crate::serve::{Outcome, ServeError};

pub const OUTCOME_HEADER: &str = "x-almondroad-outcome";

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    pub error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
pub struct ErrorDetail<'a> {
    pub code: &'a str,
    pub message: String,
    pub outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody<'_> {
    pub fn new(error: &ServeError) -> ErrorBody<'static> {
        ErrorBody {
            error: ErrorDetail {
                code: error.code(),
                message: error.to_string(),
                outcome: error.outcome(),
                retry_after_ms: error.retry_after_ms(),
            },
        }
    }
}

/// Builds the HTTP response for an error.
pub fn error_response(error: &ServeError) -> Response<ResponseBody> {
    let mut response = json_response(&ErrorBody::new(error));
    *response.status_mut() = error.status();
    let headers = response.headers_mut();
    if let Ok(outcome) = error.outcome().to_string().parse() {
        headers.insert(OUTCOME_HEADER, outcome);
    }
    if let Some(retry_after_ms) = error.retry_after_ms() {
        headers.insert(RETRY_AFTER, retry_after_ms.div_ceil(1000).into());
    }
    response
}

/// A response with a JSON body and status 200.
pub fn json_response(content: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(ResponseBody::full(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    response
}
