use serde::{Deserialize, Serialize};

/// Settings of the platform's stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Rows per second; a call above the limit is refused. Zero means no limit.
    pub reads_per_s: u64,
    pub writes_per_s: u64,
    /// Age of the state that the list of instances shows.
    pub list_lag_ms: u64,
    /// Time after which an instance that did not register again leaves the list; zero for never.
    pub list_ttl_ms: u64,
    pub seed: u64,
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        PlatformSettings {
            reads_per_s: 2000,
            writes_per_s: 500,
            list_lag_ms: 0,
            list_ttl_ms: 0,
            seed: 1,
        }
    }
}

/// Faults of the platform. Each set of faults replaces the one before; `{}` ends all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuses all calls.
    pub down: bool,
    pub delay_ms: u64,
    /// Breaks the connection instead of answering, after the call took effect.
    pub lose_answer_permille: u32,
    /// Keeps the connection silent instead of breaking it when an answer is lost.
    pub lost_answers_hang: bool,
    /// Commits take effect this much later, also when the caller has given up by then.
    pub apply_late_ms: u64,
    /// Adds to the lag of the list of instances.
    pub stale_list_ms: u64,
    /// Answers reads and scans from the state at the time at which this was set.
    pub stale_read: bool,
    /// Makes the connections that were used so far silent, once.
    pub silent: bool,
}
