use std::time::Duration;

use hyper::Method;
use hyper::header::AUTHORIZATION;
use serde_json::Value;
use smol_str::SmolStr;

use crate::bench::key_of;
use crate::http::{HttpClient, HttpError};
use crate::once::IDEMPOTENCY_HEADER;
use crate::serve::OUTCOME_HEADER;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A call to a plain service through a gateway.
pub struct ServiceCall {
    pub organisation: SmolStr,
    pub method: Method,
    pub path: String,
    pub idempotency_key: Option<String>,
    pub body: String,
}

/// Result of a call for its caller.
pub enum ServiceAnswer {
    Answered {
        body: String,
    },
    NotRun {
        code: SmolStr,
    },
    /// An error response after which the call may have run.
    Unknown {
        status: u16,
        code: SmolStr,
    },
    /// The connection failed or there was no response in time.
    NoAnswer,
}

impl ServiceCall {
    /// Sends the call on a separate connection, so that a crash of the gateway breaks only this
    /// call.
    pub async fn send(&self, address: &SmolStr) -> ServiceAnswer {
        let exchange = tokio::time::timeout(ANSWER_TIMEOUT, self.exchange(address));
        exchange.await.ok().and_then(Result::ok).unwrap_or(ServiceAnswer::NoAnswer)
    }

    async fn exchange(&self, address: &SmolStr) -> Result<ServiceAnswer, HttpError> {
        let client = HttpClient::new(address.clone());
        let body = self.body.clone().into();
        let mut request = client.request(self.method.clone(), &self.path, body)?;
        let headers = request.headers_mut();
        if let Ok(key) = format!("Bearer {}", key_of(&self.organisation)).parse() {
            headers.insert(AUTHORIZATION, key);
        }
        if let Some(key) = self.idempotency_key.as_ref().and_then(|key| key.parse().ok()) {
            headers.insert(IDEMPOTENCY_HEADER, key);
        }
        let response = client.send(request, ANSWER_TIMEOUT).await?;
        let status = response.status();
        let outcome = response.headers().get(OUTCOME_HEADER).cloned();
        let body = client.read_any_body(response).await?;
        if status.is_success() {
            return Ok(ServiceAnswer::Answered { body: String::from_utf8_lossy(&body).into() });
        }
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let code = body["error"]["code"].as_str().unwrap_or_default().into();
        if outcome.is_some_and(|outcome| outcome == "not_run") {
            return Ok(ServiceAnswer::NotRun { code });
        }
        Ok(ServiceAnswer::Unknown { status: status.as_u16(), code })
    }
}
