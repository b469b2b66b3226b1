use hyper::header::{AUTHORIZATION, COOKIE};
use hyper::{HeaderMap, Uri};

use crate::units::KeyHash;

/// Header, and names of query parameters and cookies, that may carry the key besides
/// `Authorization`.
const KEY_HEADER: &str = "x-api-key";
const KEY_NAMES: [&str; 4] = ["api_key", "api-key", "key", "access_token"];

/// A caller's API key. It has no `Display` and its `Debug` output is redacted, so that it cannot be
/// logged.
pub struct ApiKey(String);

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ApiKey(hidden)")
    }
}

impl ApiKey {
    /// Finds the key in the headers, the query or the cookies.
    pub fn find(headers: &HeaderMap, uri: &Uri) -> Option<ApiKey> {
        bearer_key(headers)
            .or_else(|| headers.get(KEY_HEADER)?.to_str().ok().map(str::to_owned))
            .or_else(|| query_key(uri))
            .or_else(|| cookie_key(headers))
            .map(ApiKey)
    }

    pub fn hash(&self) -> KeyHash {
        KeyHash::of_key(&self.0)
    }

    /// Whether a text contains the key.
    pub fn occurs_in(&self, text: &str) -> bool {
        text.contains(&self.0)
    }
}

/// Whether a query parameter or cookie of this name may carry a key.
pub fn is_key_name(name: &str) -> bool {
    KEY_NAMES.iter().any(|known| known.eq_ignore_ascii_case(name))
}

fn bearer_key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}

fn query_key(uri: &Uri) -> Option<String> {
    form_urlencoded::parse(uri.query()?.as_bytes())
        .find(|(name, _)| is_key_name(name))
        .map(|(_, value)| value.into_owned())
}

fn cookie_key(headers: &HeaderMap) -> Option<String> {
    headers
        .get_all(COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(';'))
        .filter_map(|cookie| cookie.trim().split_once('='))
        .find(|(name, _)| is_key_name(name))
        .map(|(_, value)| value.to_owned())
}
