use std::net::Ipv4Addr;

use crate::replica::SourceError;

/// Where instances find each other when no seed answers.
#[allow(async_fn_in_trait)]
pub trait InstanceRegistry: 'static {
    async fn register(&self, address: Ipv4Addr) -> Result<(), SourceError>;

    async fn unregister(&self, address: Ipv4Addr) -> Result<(), SourceError>;

    /// All addresses, also of instances that ended without a notice.
    async fn list(&self) -> Result<Vec<Ipv4Addr>, SourceError>;
}
