use derive_more::{Display, Error};
use smol_str::SmolStr;

use crate::replica::{RowChange, Snapshot, Topic};

/// Rows that changed after a requested version and up to `version`, oldest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    pub version: u64,
    pub rows: Vec<RowChange>,
}

/// Reasons why the store or a peer could not be read, or the store not written.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SourceError {
    #[display("the change history since the requested version has been truncated")]
    HistoryTruncated,
    #[display("unavailable: {reason}")]
    Unavailable { reason: SmolStr },
}

/// Source of the tables that instances replicate.
#[allow(async_fn_in_trait)]
pub trait RowSource: 'static {
    /// Reads all rows of a table.
    async fn read_all(&self, topic: Topic) -> Result<Snapshot, SourceError>;

    /// Long poll: waits for changes after `version`, but no longer than `wait_ms`.
    async fn read_changes(
        &self,
        topic: Topic,
        version: u64,
        wait_ms: u64,
    ) -> Result<Changes, SourceError>;
}
