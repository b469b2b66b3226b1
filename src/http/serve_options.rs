use crate::http::MemoryAccount;

/// Time limit for receiving a request head, counted from when the connection is ready for a
/// request.
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 10_000;

/// Options of a server's connections.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// Time limit for receiving a request head. It also limits how long a connection may be idle.
    pub head_timeout_ms: u64,
    pub enable_http2: bool,
    /// Account of what the process holds for the clients of all its servers; `None` for no limit.
    pub account: Option<MemoryAccount>,
}

impl Default for ServeOptions {
    fn default() -> ServeOptions {
        ServeOptions { head_timeout_ms: DEFAULT_HEAD_TIMEOUT_MS, enable_http2: true, account: None }
    }
}

impl ServeOptions {
    /// Options for a server without HTTP/2.
    pub fn http1(head_timeout_ms: u64) -> ServeOptions {
        ServeOptions { head_timeout_ms, enable_http2: false, account: None }
    }

    /// Charges connections and their requests to an account.
    pub fn with_account(self, account: MemoryAccount) -> ServeOptions {
        ServeOptions { account: Some(account), ..self }
    }
}
