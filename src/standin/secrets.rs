use std::cell::RefCell;
use std::collections::BTreeMap;

use hyper::Request;
use serde::{Deserialize, Serialize};

/// Parts of header and query names that carry credentials.
const NAME_PARTS: [&str; 7] =
    ["authorization", "cookie", "key", "token", "secret", "password", "credential"];

/// Names that contain one of the parts but carry no credential.
const HARMLESS: [&str; 1] = ["idempotency-key"];

/// Requests that carried something that looks like a credential.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecretStats {
    pub requests: u64,
    pub with_secret: u64,
    /// Requests by name of the header or query parameter.
    pub names: BTreeMap<String, u64>,
}

/// Looks for credentials in the requests that a stand-in receives.
#[derive(Debug, Default)]
pub struct SecretWatch {
    marker: Option<String>,
    stats: RefCell<SecretStats>,
}

impl SecretWatch {
    /// `marker` is text that only keys contain; it counts under whichever name it comes.
    pub fn new(marker: Option<String>) -> SecretWatch {
        SecretWatch { marker, stats: RefCell::default() }
    }

    pub fn note<B>(&self, request: &Request<B>) {
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
        let marked = self.marker.as_deref().is_some_and(|m| value.contains(m) || name.contains(m));
        let named = NAME_PARTS.iter().any(|part| name.contains(part));
        marked || (named && !HARMLESS.contains(&name.as_str()))
    }

    pub fn stats(&self) -> SecretStats {
        self.stats.borrow().clone()
    }
}
