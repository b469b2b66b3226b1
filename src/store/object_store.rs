use bytes::Bytes;

use crate::store::StoreError;
use crate::units::ContentHash;

/// The platform's object store. Objects are immutable and named by their hash; implementations
/// verify the hash of the content they read.
#[allow(async_fn_in_trait)]
pub trait ObjectStore: Clone + 'static {
    async fn put(&self, content: Bytes) -> Result<ContentHash, StoreError>;

    async fn get(&self, hash: ContentHash) -> Result<Option<Bytes>, StoreError>;
}
