use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::Change;
use crate::units::{AttemptId, Version};

/// Value of the row `config/change/<version>`, written once for each version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRow {
    pub change: Change,
    pub attempt: AttemptId,
    /// Team whose credential made the edit.
    pub team: SmolStr,
}

impl ChangeRow {
    pub const PREFIX: &'static str = "config/change/";

    /// Row key of a version, zero-padded so that rows sort by version.
    pub fn key(version: Version) -> String {
        format!("{}{:020}", ChangeRow::PREFIX, version.get())
    }
}
