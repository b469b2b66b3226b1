use std::cell::RefCell;
use std::collections::BTreeMap;

use hyper::Request;
use serde::{Deserialize, Serialize};

/// Substrings of the names of headers and query parameters that usually carry credentials.
const SECRET_NAME_PARTS: [&str; 7] =
    ["authorization", "cookie", "key", "token", "secret", "password", "credential"];

/// Names that contain such a substring but carry no credential.
const NON_SECRET_NAMES: [&str; 1] = ["idempotency-key"];

/// Counts of requests that carried a possible credential.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecretStats {
    pub requests: u64,
    pub with_secret: u64,
    /// Counts by name of the header, or of the query parameter with a leading `?`.
    pub names: BTreeMap<String, u64>,
}

/// Detects credentials in the requests that a stand-in receives.
#[derive(Debug, Default)]
pub struct SecretDetector {
    marker: Option<String>,
    stats: RefCell<SecretStats>,
}

impl SecretDetector {
    /// `marker` is text that occurs only in callers' keys. A header or parameter that contains it
    /// counts under any name.
    pub fn new(marker: Option<String>) -> SecretDetector {
        SecretDetector { marker, stats: RefCell::default() }
    }

    /// Counts the request and its possible credentials.
    pub fn inspect<B>(&self, request: &Request<B>) {
        let mut names: Vec<String> = Vec::new();
        for (name, value) in request.headers() {
            if self.is_secret(name.as_str(), &String::from_utf8_lossy(value.as_bytes())) {
                names.push(name.as_str().to_lowercase());
            }
        }
        for pair in request.uri().query().unwrap_or("").split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            if self.is_secret(name, value) {
                names.push(format!("?{}", name.to_lowercase()));
            }
        }
        let mut stats = self.stats.borrow_mut();
        stats.requests += 1;
        stats.with_secret += u64::from(!names.is_empty());
        for name in names {
            *stats.names.entry(name).or_default() += 1;
        }
    }

    fn is_secret(&self, name: &str, value: &str) -> bool {
        let name = name.to_lowercase();
        let has_marker =
            self.marker.as_deref().is_some_and(|m| value.contains(m) || name.contains(m));
        let has_secret_name = SECRET_NAME_PARTS.iter().any(|part| name.contains(part));
        has_marker || (has_secret_name && !NON_SECRET_NAMES.contains(&name.as_str()))
    }

    pub fn stats(&self) -> SecretStats {
        self.stats.borrow().clone()
    }
}
