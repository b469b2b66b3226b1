use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use smol_str::SmolStr;

use crate::settings::SettingsError;

/// Why an instance could not start.
#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    #[display("{_0}")]
    Settings(SettingsError),
    #[display("the runtime cannot be set up: {_0}")]
    Runtime(io::Error),
    #[display("cannot listen on {address}: {source}")]
    #[from(ignore)]
    Listen { address: SocketAddr, source: io::Error },
    #[display("a task that runs as long as the instance has ended: {task}")]
    #[from(ignore)]
    TaskEnded { task: SmolStr },
    #[display("metrics cannot be set up: {_0}")]
    Metrics(metrics_exporter_prometheus::BuildError),
}
