/// Percentage of the expected output that is reserved at an engine. The generations that share an
/// engine are at different stages, so that on average half of their output exists at any time.
const RESERVED_OUTPUT_PERCENT: u64 = 50;

/// KV cache memory that a generation needs at a decode engine, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryEstimate {
    /// Size that the generation is expected to reach.
    pub expected_tokens: u64,
    /// Size that is reserved at the engine.
    pub reserved_tokens: u64,
}

impl MemoryEstimate {
    /// `expected_output` is the caller's estimate and defaults to `max_output`. `capacity` is the
    /// memory of one engine.
    pub fn new(
        prompt_tokens: u64,
        expected_output: Option<u64>,
        max_output: u64,
        capacity: u64,
    ) -> MemoryEstimate {
        let output = expected_output.unwrap_or(max_output).min(max_output);
        let reserved_output = output * RESERVED_OUTPUT_PERCENT / 100;
        MemoryEstimate {
            expected_tokens: (prompt_tokens + output).min(capacity),
            reserved_tokens: (prompt_tokens + reserved_output).min(capacity),
        }
    }
}
