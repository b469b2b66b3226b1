use bytes::Bytes;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderName};
use hyper::{HeaderMap, Method, Uri};
use smol_str::SmolStr;

use crate::serve::{ApiKey, is_key_name};
use crate::units::ContentHash;

pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Request headers that are forwarded besides `accept` and `content-type`. All others are dropped,
/// because they may contain a credential.
const FORWARDED_HEADERS: [&str; 5] =
    ["accept-language", "traceparent", "tracestate", IDEMPOTENCY_HEADER, "x-request-id"];

/// A request to a plain service: the caller's request without its credential.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    pub method: Method,
    pub path_and_query: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainResponse {
    pub status: u16,
    pub content_type: Option<SmolStr>,
    pub body: Bytes,
}

impl PlainRequest {
    pub fn new(
        method: Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: Bytes,
        key: Option<&ApiKey>,
    ) -> PlainRequest {
        let mut forwarded = HeaderMap::new();
        let names = [ACCEPT.as_str(), CONTENT_TYPE.as_str()];
        for name in names.into_iter().chain(FORWARDED_HEADERS) {
            let Some(value) = headers.get(name) else { continue };
            if !contains_caller_key(value.to_str().unwrap_or_default(), key)
                && let Ok(name) = name.parse::<HeaderName>()
            {
                forwarded.insert(name, value.clone());
            }
        }
        PlainRequest {
            method,
            path_and_query: path_without_key(uri, key),
            headers: forwarded,
            body,
        }
    }

    /// Hash of method, path, query and body, used to detect a different request with the same
    /// idempotency key.
    pub fn content_hash(&self) -> ContentHash {
        let mut bytes = Vec::with_capacity(self.path_and_query.len() + self.body.len() + 16);
        for part in [self.method.as_str().as_bytes(), self.path_and_query.as_bytes(), &self.body] {
            bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
            bytes.extend_from_slice(part);
        }
        ContentHash::of_bytes(&bytes)
    }
}

fn contains_caller_key(text: &str, key: Option<&ApiKey>) -> bool {
    key.is_some_and(|key| key.occurs_in(text))
}

fn path_without_key(uri: &Uri, key: Option<&ApiKey>) -> String {
    let path = uri.path();
    let Some(query) = uri.query() else { return path.to_owned() };
    let kept = form_urlencoded::parse(query.as_bytes())
        .filter(|(name, value)| !is_key_name(name) && !contains_caller_key(value, key));
    let query = form_urlencoded::Serializer::new(String::new()).extend_pairs(kept).finish();
    if query.is_empty() { path.to_owned() } else { format!("{path}?{query}") }
}
