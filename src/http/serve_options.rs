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
    /// Account of the connections of all servers of the process; `None` for no limit.
    pub connections: Option<MemoryAccount>,
}

impl Default for ServeOptions {
    fn default() -> ServeOptions {
        ServeOptions {
            head_timeout_ms: DEFAULT_HEAD_TIMEOUT_MS,
            enable_http2: true,
            connections: None,
        }
    }
}

impl ServeOptions {
    /// Options for a server without HTTP/2.
    pub fn http1(head_timeout_ms: u64) -> ServeOptions {
        ServeOptions { head_timeout_ms, enable_http2: false, connections: None }
    }

    /// Charges each connection to an account.
    pub fn with_connections(self, account: MemoryAccount) -> ServeOptions {
        ServeOptions { connections: Some(account), ..self }
    }
}
