//! Starts stand-ins and builds requests to them.

use std::net::SocketAddr;
use std::time::Duration;

use almondroad::engine::{
    DecodeEvent, DecodeRequest, Engine, EngineError, HttpEngine, HttpTokenStream, PrefillRequest,
    PrefillSource, TokenStream,
};
use almondroad::http::HttpClient;
use almondroad::standin::{
    EngineSettings, PlatformSettings, Standin, expected_length, expected_token, start_engine,
    start_platform,
};
use almondroad::store::HttpStore;
use almondroad::units::{AttemptId, Incarnation, InstanceId, ModelId, Tokens};
use hyper::Method;
use tokio::time::timeout;

/// Timeout of a request to a stand-in.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a test on a `LocalSet` with a timeout.
pub async fn run(test: impl Future<Output = ()>) {
    let limit = Duration::from_secs(20);
    tokio::task::LocalSet::new().run_until(timeout(limit, test)).await.expect("test timed out");
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An engine that takes about 2 ms per token.
pub fn fast() -> EngineSettings {
    EngineSettings { token_base_ms: 2.0, token_per_running_ms: 0.1, ..EngineSettings::default() }
}

pub async fn engine(settings: EngineSettings) -> (Standin, HttpEngine) {
    let standin = start_engine(any_port(), settings).await.unwrap();
    let client = HttpEngine::new(standin.address());
    (standin, client)
}

pub async fn platform(settings: PlatformSettings) -> (Standin, HttpStore) {
    let standin = start_platform(any_port(), settings).await.unwrap();
    let client = HttpStore::new(standin.address());
    (standin, client)
}

pub async fn set_faults(standin: &Standin, faults: &impl serde::Serialize) {
    let client = HttpClient::new(standin.address());
    let () = client.call(Method::POST, "/standin/faults", faults, REQUEST_TIMEOUT).await.unwrap();
}

pub async fn stats<A: serde::de::DeserializeOwned>(standin: &Standin) -> A {
    let client = HttpClient::new(standin.address());
    client.call(Method::GET, "/standin/stats", &(), REQUEST_TIMEOUT).await.unwrap()
}

pub fn attempt(sequence: u64) -> AttemptId {
    AttemptId { instance: InstanceId::new("gw-1"), incarnation: Incarnation(7), sequence }
}

pub fn prefill_of(sequence: u64, prompt: &str) -> PrefillRequest {
    PrefillRequest {
        attempt: attempt(sequence),
        model: ModelId::new("m"),
        prompt: prompt.into(),
        generated: Vec::new(),
        cache_scope: "org".into(),
        priority: 1,
    }
}

pub fn decode_of(sequence: u64, prompt: &str, source: Option<PrefillSource>) -> DecodeRequest {
    DecodeRequest {
        attempt: attempt(sequence),
        model: ModelId::new("m"),
        prompt: prompt.into(),
        source,
        first_index: 0,
        max_output_tokens: Tokens(40),
        priority: 1,
    }
}

pub async fn prefill(standin: &Standin, sequence: u64, prompt: &str) -> PrefillSource {
    let client = HttpEngine::new(standin.address());
    let result = client.prefill(&prefill_of(sequence, prompt)).await.unwrap();
    PrefillSource { address: standin.address().into(), handle: result.handle }
}

/// Reads the tokens from index `from` on, up to the end or `count` tokens. Returns the next index.
pub async fn read_tokens(
    stream: &mut HttpTokenStream,
    prompt: &str,
    from: u64,
    count: u64,
) -> Result<u64, EngineError> {
    let mut next = from;
    while next < from + count {
        match stream.next().await? {
            Some(DecodeEvent::Token { index, text, .. }) => {
                assert_eq!(index, next);
                assert_eq!(text, expected_token(prompt, index));
                next += 1;
            }
            Some(DecodeEvent::Done { output_tokens, .. }) => {
                assert_eq!(output_tokens, Tokens(expected_length(prompt, 40)));
                return Ok(next);
            }
            Some(DecodeEvent::Imported { .. }) => {}
            None => return Err(EngineError::StreamCut),
        }
    }
    Ok(next)
}

pub fn length(prompt: &str) -> u64 {
    expected_length(prompt, 40)
}
