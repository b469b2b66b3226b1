//! Stand-in for a model engine: runs prefills and decodes with simulated timing, memory and caches.

mod decode;
mod faults;
mod memory;
mod order;
mod prefill;
mod prefix_cache;
mod service;
mod settings;
mod state;
mod stats;
mod stream;

use std::net::SocketAddr;
use std::rc::Rc;

use tokio_util::sync::CancellationToken;

use crate::standin::Standin;
use crate::standin::launch::{launch, spawn_until};

pub use faults::EngineFaults;
pub use settings::{EngineRole, EngineSettings};
pub use stats::{AttemptCounts, EngineStats, LoadRecord, PromptCounts};

/// Starts an engine stand-in on the current `LocalSet`.
pub async fn start_engine(
    listen: SocketAddr,
    settings: EngineSettings,
) -> std::io::Result<Standin> {
    let stop = CancellationToken::new();
    let service = Rc::new(service::EngineService::new(settings, stop.clone()));
    let handler = Rc::new(service::EngineHandler(Rc::clone(&service)));
    let standin = launch(listen, handler, stop.clone()).await?;
    spawn_until(&stop, Rc::clone(&service).run_prefills());
    spawn_until(&stop, Rc::clone(&service).run_decodes());
    spawn_until(&stop, service.run_load_sampling());
    Ok(standin)
}
