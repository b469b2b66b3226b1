/// Limits on request size, time to receive a request and idle time of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    pub header_limit_bytes: usize,
    pub body_limit_bytes: usize,
    /// Time within which the head and the body of a request must arrive.
    pub receive_timeout_ms: u64,
    pub connection_idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    /// Limits that apply until the first configuration is known.
    fn default() -> RequestLimits {
        RequestLimits {
            header_limit_bytes: 16 << 10,
            body_limit_bytes: 4 << 20,
            receive_timeout_ms: 3_000,
            connection_idle_timeout_ms: 15_000,
        }
    }
}
