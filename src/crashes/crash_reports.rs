use serde::{Deserialize, Serialize};

use crate::crashes::{PartReport, RequestReport};

/// What an instance tells its peers of endpoints that have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReports {
    pub parts: Vec<PartReport>,
    pub requests: Vec<RequestReport>,
}

impl CrashReports {
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.requests.is_empty()
    }
}
