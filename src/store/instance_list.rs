use crate::store::{ListedInstance, StoreError};

/// The platform's list of live and leaving instances, which may be up to a minute out of date.
#[allow(async_fn_in_trait)]
pub trait InstanceList: Clone + 'static {
    async fn instances(&self) -> Result<Vec<ListedInstance>, StoreError>;

    /// Adds or replaces the entry of an instance.
    async fn register(&self, instance: &ListedInstance) -> Result<(), StoreError>;
}
