//! Stand-in for the platform's table, object store and instance list.

mod listing;
mod rows;
mod service;
mod settings;
mod usage;

use std::net::SocketAddr;
use std::rc::Rc;

use tokio_util::sync::CancellationToken;

use crate::standin::Standin;
use crate::standin::launch::launch;

pub use settings::{PlatformFaults, PlatformSettings};
pub use usage::{PlatformStats, RowCounts};

/// Starts the platform stand-in on the current `LocalSet`.
pub async fn start_platform(
    listen: SocketAddr,
    settings: PlatformSettings,
) -> std::io::Result<Standin> {
    let stop = CancellationToken::new();
    let service = Rc::new(service::PlatformService::new(settings, stop.clone()));
    launch(listen, Rc::new(service::PlatformHandler(service)), stop).await
}
