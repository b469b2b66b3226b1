use serde::Deserialize;
use smol_str::SmolStr;

/// The fields of a log line of an instance that `explain` uses.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LogLine {
    /// 0 in logs of versions that did not write the time.
    pub time_unix_ms: u64,
    pub message: SmolStr,
    pub endpoint: SmolStr,
    /// Attempt id of the request that the line is about.
    pub request: SmolStr,
    pub route: SmolStr,
    pub organisation: SmolStr,
    pub configuration: u64,
    pub size: SmolStr,
    pub sends: String,
    pub outcome: SmolStr,
    pub total_ms: u64,
}

impl LogLine {
    /// Whether the line tells how a request ended.
    pub fn is_request(&self) -> bool {
        !self.request.is_empty() && !self.outcome.is_empty()
    }

    /// Time at which the request arrived.
    pub fn arrived_unix_ms(&self) -> u64 {
        self.time_unix_ms.saturating_sub(self.total_ms)
    }
}
