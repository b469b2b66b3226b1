use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use smol_str::SmolStr;

use crate::settings::SettingsError;

/// Errors that prevent an instance from starting or make it exit.
#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    #[display("{_0}")]
    Settings(SettingsError),
    #[display("cannot set up the async runtime: {_0}")]
    Runtime(io::Error),
    #[display("cannot listen on {address}: {source}")]
    #[from(ignore)]
    Listen { address: SocketAddr, source: io::Error },
    #[display("background task ended unexpectedly: {task}")]
    #[from(ignore)]
    TaskEnded { task: SmolStr },
    #[display("cannot set up metrics: {_0}")]
    Metrics(metrics_exporter_prometheus::BuildError),
}
