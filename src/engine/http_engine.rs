use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr};

use crate::engine::{
    CacheEvents, CancelRequest, DecodeEvent, DecodeRequest, Engine, EngineError, EngineState,
    HeldAttempt, LoadReport, OrderRequest, PrefillRequest, PrefillResult, TokenStream,
};
use crate::http::{HttpClient, HttpError};
use crate::units::{AttemptId, FencingToken};

/// Upper limit of a prefill, and of the response headers of a decode. Callers set tighter
/// deadlines.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(30);
/// Below the 500 ms after which a pool's owner gives up a call, so that a dead connection is
/// detected here and the retry uses a new one.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(450);

/// A client of an engine's HTTP interface.
#[derive(Clone)]
pub struct HttpEngine {
    client: HttpClient,
}

/// The newline-delimited JSON events of a decode.
pub struct HttpTokenStream {
    address: SmolStr,
    body: Incoming,
    buffer: BytesMut,
}

/// Body of an engine's error response.
#[derive(Deserialize)]
struct ErrorBody {
    code: SmolStr,
    #[serde(default)]
    newest_fencing: FencingToken,
}

impl HttpEngine {
    pub fn new(address: impl Into<SmolStr>) -> HttpEngine {
        HttpEngine { client: HttpClient::new(address) }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        payload: &Q,
        limit: Duration,
    ) -> Result<A, EngineError> {
        let answer = self.client.call(method, path, payload, limit).await;
        if matches!(answer, Err(HttpError::Timeout { .. })) {
            // Other pooled connections may not respond either.
            self.client.reset();
        }
        answer.map_err(to_engine_error)
    }
}

fn to_engine_error(error: HttpError) -> EngineError {
    let HttpError::Status { body, .. } = &error else {
        return EngineError::Http(error);
    };
    let Ok(answer) = serde_json::from_str::<ErrorBody>(body) else {
        return EngineError::Http(error);
    };
    match answer.code.as_str() {
        "prefill_expired" => EngineError::PrefillExpired,
        "transfer_stalled" => EngineError::TransferStalled,
        "full" => EngineError::Full,
        "unknown_attempt" => EngineError::UnknownAttempt,
        "fenced" => EngineError::Fenced { newest: answer.newest_fencing },
        _ => EngineError::Refused { reason: answer.code },
    }
}

impl Engine for HttpEngine {
    type Stream = HttpTokenStream;

    async fn prefill(&self, request: &PrefillRequest) -> Result<PrefillResult, EngineError> {
        self.call(Method::POST, "/engine/prefill", request, PREFILL_TIMEOUT).await
    }

    async fn decode(&self, request: &DecodeRequest) -> Result<HttpTokenStream, EngineError> {
        let body = serde_json::to_vec(request)
            .map_err(|e| EngineError::Refused { reason: e.to_smolstr() })?;
        let request = self.client.request(Method::POST, "/engine/decode", body.into())?;
        let response = self.client.send(request, PREFILL_TIMEOUT).await?;
        if !response.status().is_success() {
            return match self.client.read_body(response).await {
                Err(error) => Err(to_engine_error(error)),
                Ok(_) => Err(EngineError::StreamCut),
            };
        }
        Ok(HttpTokenStream {
            address: self.client.address().clone(),
            body: response.into_body(),
            buffer: BytesMut::new(),
        })
    }

    async fn cancel(&self, attempt: &AttemptId) -> Result<(), EngineError> {
        let payload = CancelRequest { attempt: attempt.clone() };
        self.call(Method::POST, "/engine/cancel", &payload, CONTROL_TIMEOUT).await
    }

    async fn held_attempts(&self) -> Result<Vec<HeldAttempt>, EngineError> {
        self.call(Method::GET, "/engine/held", &(), CONTROL_TIMEOUT).await
    }

    async fn load(&self) -> Result<LoadReport, EngineError> {
        self.call(Method::GET, "/engine/load", &(), CONTROL_TIMEOUT).await
    }

    async fn state(&self) -> Result<EngineState, EngineError> {
        self.call(Method::GET, "/engine/state", &(), CONTROL_TIMEOUT).await
    }

    async fn order(&self, request: &OrderRequest) -> Result<(), EngineError> {
        self.call(Method::POST, "/engine/order", request, CONTROL_TIMEOUT).await
    }

    async fn cache_events(&self, after_sequence: u64) -> Result<CacheEvents, EngineError> {
        let path = format!("/engine/events?after={after_sequence}");
        self.call(Method::GET, &path, &(), CONTROL_TIMEOUT).await
    }

    fn reset_connections(&self) {
        self.client.reset();
    }
}

impl TokenStream for HttpTokenStream {
    async fn next(&mut self) -> Result<Option<DecodeEvent>, EngineError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return serde_json::from_slice(&line[..end]).map(Some).map_err(|e| {
                    let reason = e.to_smolstr();
                    HttpError::Malformed { address: self.address.clone(), reason }.into()
                });
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(_)) => return Err(EngineError::StreamCut),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}
