/// Limits on request size, time to receive a request and idle time of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    /// Time within which the head and the body of a request must arrive.
    pub receive_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    /// Limits that apply until the first configuration is known.
    fn default() -> RequestLimits {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            receive_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
