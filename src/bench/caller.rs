use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response};
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::bench::fleet_document::MODEL;
use crate::bench::{CallRecord, Ending, key_of};
use crate::http::{HttpClient, HttpError};
use crate::serve::OUTCOME_HEADER;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A completion request: the prompt and how it is sent.
#[derive(Clone, Debug)]
pub struct Prompt {
    pub organisation: SmolStr,
    pub text: String,
    pub max_tokens: u64,
    pub path: &'static str,
    pub request_id: Option<SmolStr>,
    /// The caller cancels the request after this many tokens.
    pub cancel_after_tokens: Option<u64>,
}

impl Prompt {
    pub fn new(
        organisation: impl Into<SmolStr>,
        text: impl Into<String>,
        max_tokens: u64,
    ) -> Prompt {
        Prompt {
            organisation: organisation.into(),
            text: text.into(),
            max_tokens,
            path: "/v1/completions",
            request_id: None,
            cancel_after_tokens: None,
        }
    }
}

/// Client that sends requests to the gateways and records the results.
#[derive(Clone)]
pub struct Caller {
    started_at: Instant,
    clients: Rc<RefCell<HashMap<SmolStr, HttpClient>>>,
}

impl Default for Caller {
    fn default() -> Caller {
        Caller { started_at: Instant::now(), clients: Rc::default() }
    }
}

impl Caller {
    pub fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn client(&self, address: &SmolStr) -> HttpClient {
        let mut clients = self.clients.borrow_mut();
        clients.entry(address.clone()).or_insert_with(|| HttpClient::new(address.clone())).clone()
    }

    /// Sends one streaming request and reads the response to its end.
    pub async fn complete(&self, address: &SmolStr, prompt: &Prompt) -> CallRecord {
        let mut record = CallRecord::sent(prompt, address.clone(), self.elapsed_ms());
        record.ending = match self.exchange(address, prompt, &mut record).await {
            Ok(ending) => ending,
            Err(_) if record.output_tokens > 0 => Ending::Cut { code: "broken".into() },
            Err(_) => Ending::NoAnswer,
        };
        record.ended_at_ms = self.elapsed_ms();
        record
    }

    async fn exchange(
        &self,
        address: &SmolStr,
        prompt: &Prompt,
        record: &mut CallRecord,
    ) -> Result<Ending, HttpError> {
        let client = self.client(address);
        let sent_at = Instant::now();
        let response = client.send(completion_request(&client, prompt)?, ANSWER_TIMEOUT).await?;
        if !response.status().is_success() {
            return refusal(&client, response).await;
        }
        let mut events = SseReader { body: response.into_body(), buffer: BytesMut::new() };
        let mut last_at = sent_at;
        while let Some(event) = events.next().await? {
            if event == "[DONE]" {
                return Ok(Ending::Complete);
            }
            let value: Value = serde_json::from_str(&event).unwrap_or_default();
            if let Some(code) = value["error"]["code"].as_str() {
                return Ok(Ending::Cut { code: code.into() });
            }
            if let Some(tokens) = value["usage"]["prompt_tokens"].as_u64() {
                record.prompt_tokens = tokens;
                continue;
            }
            record.text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
            let now = Instant::now();
            record.record_token(now.duration_since(last_at).as_millis() as u64);
            last_at = now;
            if prompt.cancel_after_tokens == Some(record.output_tokens) {
                return Ok(Ending::Cancelled);
            }
        }
        Ok(Ending::Cut { code: "no_end".into() })
    }
}

fn completion_request(
    client: &HttpClient,
    prompt: &Prompt,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let body = json!({
        "model": MODEL, "prompt": prompt.text, "max_tokens": prompt.max_tokens, "stream": true,
    });
    let mut request = client.request(Method::POST, prompt.path, body.to_string().into())?;
    let key = format!("Bearer {}", key_of(&prompt.organisation));
    if let Ok(key) = key.parse() {
        request.headers_mut().insert(AUTHORIZATION, key);
    }
    if let Some(id) = prompt.request_id.as_ref().and_then(|id| id.parse().ok()) {
        request.headers_mut().insert("x-request-id", id);
    }
    Ok(request)
}

async fn refusal(client: &HttpClient, response: Response<Incoming>) -> Result<Ending, HttpError> {
    let status = response.status().as_u16();
    let outcome = response.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
    let outcome = outcome.unwrap_or_default().into();
    let body = client.read_any_body(response).await?;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = body["error"]["code"].as_str().unwrap_or_default().into();
    Ok(Ending::Refused { status, code, outcome })
}

/// Reads the `data` fields of a stream of server-sent events.
struct SseReader {
    body: Incoming,
    buffer: BytesMut,
}

impl SseReader {
    async fn next(&mut self) -> Result<Option<String>, HttpError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event = self.buffer.split_to(end + 2);
                let text = String::from_utf8_lossy(&event[..end]);
                return Ok(Some(text.trim_start_matches("data: ").to_owned()));
            }
            let frame = tokio::time::timeout(ANSWER_TIMEOUT, self.body.frame());
            match frame.await {
                Err(_) => return Err(HttpError::Timeout { address: SmolStr::default() }),
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => {
                    let reason = error.to_string().into();
                    return Err(HttpError::Broken { address: SmolStr::default(), reason });
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}
