use serde::{Deserialize, Serialize};

/// Settings of the platform stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Maximum rows per second. A call that exceeds the limit is rejected. Zero means unlimited.
    pub reads_per_s: u64,
    pub writes_per_s: u64,
    /// Delay after which a change shows in the instance list.
    pub list_lag_ms: u64,
    /// Time after which an instance that has not registered again is removed from the list; zero
    /// disables.
    pub list_ttl_ms: u64,
    /// Seed of the random choice of responses to lose.
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

/// Faults to inject into the platform. Setting faults replaces the current ones, and `{}` clears
/// them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Rejects all calls.
    pub down: bool,
    pub delay_ms: u64,
    /// Permille of responses that are lost: the call takes effect, then the connection breaks.
    pub lose_answer_permille: u32,
    /// Keeps the connection open without a response instead of breaking it when a response is lost.
    pub lost_answers_hang: bool,
    /// Delay after which commits take effect, even if the caller has given up by then.
    pub apply_late_ms: u64,
    /// Additional lag of the instance list.
    pub stale_list_ms: u64,
    /// Serves reads and scans from the state at the time when this fault was set.
    pub stale_read: bool,
    /// One-time fault: stops responding on connections used so far; new connections work.
    pub silent: bool,
}
