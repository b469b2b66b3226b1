use crate::store::{CommitOutcome, Row, StoreError, Transaction};

/// The platform's transactional table. A response may be late, or lost after the write took effect.
#[allow(async_fn_in_trait)]
pub trait Table: Clone + 'static {
    /// Reads rows in one call and returns them in the order of `keys`.
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError>;

    /// Reads at most `limit` rows whose keys start with `prefix` and sort after `after`.
    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, Row)>, StoreError>;

    /// Applies all writes atomically if all conditions hold, otherwise none.
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError>;
}
