//! Runs a gateway instance as a process and handles its signals.

use std::io;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::gateway::allocator::set_mmap_threshold;
use crate::gateway::{GatewayError, GatewayMetrics, start, stop};
use crate::settings::GatewaySettings;

/// Runs an instance until a signal stops it. The first SIGTERM or SIGINT stops it gracefully,
/// the second at once.
pub fn run_process(settings: GatewaySettings) -> Result<(), GatewayError> {
    settings.log.init()?;
    set_mmap_threshold();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(GatewayError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(settings))
}

async fn run(settings: GatewaySettings) -> Result<(), GatewayError> {
    let running = start(settings, GatewayMetrics::install()?).await?;
    println!(
        "listening on {} for callers, {} for peers",
        running.http_address, running.peer_address
    );
    next_signal().await.map_err(GatewayError::Runtime)?;
    tokio::select! {
        () = stop(running) => Ok(()),
        _ = next_signal() => {
            log::warn!(target: "gateway", "second signal received, stopping immediately");
            Ok(())
        }
    }
}

async fn next_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}
