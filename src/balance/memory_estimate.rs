/// Part of the expected output that an engine is asked to set aside. The generations that share an
/// engine are at different points of their output, so that on average half of it is there.
const HELD_OUTPUT_PERCENT: u64 = 50;

/// Memory that a generation takes at a decode engine, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryEstimate {
    /// Size that the generation is expected to reach.
    pub expected_tokens: u64,
    /// Size that the engine is asked to set aside.
    pub reserved_tokens: u64,
}

impl MemoryEstimate {
    /// `expected_output` is the caller's guess; without one, the longest output counts. `capacity`
    /// is the memory of one engine.
    pub fn new(
        prompt_tokens: u64,
        expected_output: Option<u64>,
        max_output: u64,
        capacity: u64,
    ) -> MemoryEstimate {
        let output = expected_output.unwrap_or(max_output).min(max_output);
        let held_output = output * HELD_OUTPUT_PERCENT / 100;
        MemoryEstimate {
            expected_tokens: (prompt_tokens + output).min(capacity),
            reserved_tokens: (prompt_tokens + held_output).min(capacity),
        }
    }
}
