use std::net::Ipv4Addr;

use crate::replica::SourceError;

/// Shared list of instance addresses, used for discovery when no seed answers.
#[allow(async_fn_in_trait)]
pub trait InstanceRegistry: 'static {
    async fn register(&self, address: Ipv4Addr) -> Result<(), SourceError>;

    async fn unregister(&self, address: Ipv4Addr) -> Result<(), SourceError>;

    /// All registered addresses, including those of instances that ended without unregistering.
    async fn list(&self) -> Result<Vec<Ipv4Addr>, SourceError>;
}
