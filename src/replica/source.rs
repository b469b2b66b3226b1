use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::replica::{RowChange, Topic};

/// All rows of a table as of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub version: u64,
    pub rows: Vec<RowChange>,
}

/// Rows that changed up to a version, oldest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    pub version: u64,
    pub rows: Vec<RowChange>,
}

/// Why rows could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SourceError {
    #[display("the history since the version asked for is gone")]
    HistoryTruncated,
    #[display("the store does not answer: {reason}")]
    Unavailable { reason: SmolStr },
}

/// Where tables are read from.
#[allow(async_fn_in_trait)]
pub trait RowSource: 'static {
    async fn read_all(&self, topic: Topic) -> Result<Snapshot, SourceError>;

    /// Waits for changes after `version`, at most `wait_ms`.
    async fn read_changes(
        &self,
        topic: Topic,
        version: u64,
        wait_ms: u64,
    ) -> Result<Changes, SourceError>;
}
