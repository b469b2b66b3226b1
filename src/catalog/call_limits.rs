/// Bounds on what a caller may send and how long it may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// Time for a request's head and body to arrive.
    pub arrival_ms: u64,
    pub idle_ms: u64,
}

impl Default for CallLimits {
    /// In force until the first configuration is known.
    fn default() -> CallLimits {
        CallLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            arrival_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}
