use derive_more::{Display, Error};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::http::ResponseBody;

/// An answer of the instance itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    #[display("{reason}")]
    Malformed { reason: &'static str },
    #[display("the request is larger than allowed")]
    TooLarge,
    #[display("the key is unknown")]
    UnknownKey,
    #[display("no route has this host and path")]
    NoRoute,
    #[display("this instance does not know the configuration yet")]
    NoConfiguration,
    #[display("the organisation's rate is used up")]
    OverQuota { retry_after_ms: u64 },
    #[display("no endpoint can take the request now")]
    NoCapacity { retry_after_ms: u64 },
    #[display("requests like this one have crashed several endpoints")]
    CrashesEndpoints,
    #[display("the time for the request has passed; it has not run")]
    ExpiredBeforeRun,
    /// The request may have run; nothing is promised.
    #[display("the endpoint's answer was lost")]
    ResponseLost,
    #[display("no answer within the route's time; the request may have run")]
    Timeout,
}

impl Refusal {
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::Malformed { .. } => StatusCode::BAD_REQUEST,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Refusal::NoConfiguration
            | Refusal::NoCapacity { .. }
            | Refusal::CrashesEndpoints
            | Refusal::ExpiredBeforeRun => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::ResponseLost => StatusCode::BAD_GATEWAY,
            Refusal::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Short name for logs, metrics and the answer.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::Malformed { .. } => "malformed",
            Refusal::TooLarge => "too_large",
            Refusal::UnknownKey => "unknown_key",
            Refusal::NoRoute => "no_route",
            Refusal::NoConfiguration => "no_configuration",
            Refusal::OverQuota { .. } => "over_quota",
            Refusal::NoCapacity { .. } => "no_capacity",
            Refusal::CrashesEndpoints => "crashes_endpoints",
            Refusal::ExpiredBeforeRun => "expired_before_run",
            Refusal::ResponseLost => "answer_lost",
            Refusal::Timeout => "timeout",
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Refusal::OverQuota { retry_after_ms } | Refusal::NoCapacity { retry_after_ms } => {
                Some(*retry_after_ms)
            }
            _ => None,
        }
    }

    pub fn response(&self) -> Response<ResponseBody> {
        let body = json!({"error": {"code": self.code(), "message": self.to_string()}});
        let mut response = Response::new(ResponseBody::full(body.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(ms) = self.retry_after_ms() {
            let seconds = format!("{:.2}", ms as f64 / 1000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
