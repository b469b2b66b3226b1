/// Time for a request's head to arrive, from the moment the connection can take one.
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 10_000;

/// How connections of callers are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeOptions {
    /// Also bounds the time for which a connection may stay idle.
    pub head_timeout_ms: u64,
    pub enable_http2: bool,
}

impl Default for ServeOptions {
    fn default() -> ServeOptions {
        ServeOptions { head_timeout_ms: DEFAULT_HEAD_TIMEOUT_MS, enable_http2: true }
    }
}

impl ServeOptions {
    /// HTTP/1.1 only.
    pub fn http1(head_timeout_ms: u64) -> ServeOptions {
        ServeOptions { head_timeout_ms, enable_http2: false }
    }
}
