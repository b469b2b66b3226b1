use std::io;

use derive_more::{Display, Error, From};

use crate::http::TransportError;
use crate::settings::SettingsError;

/// Error that stops the gateway from running.
#[derive(Debug, Display, Error, From)]
pub enum GatewayError {
    #[display("{_0}")]
    Settings(SettingsError),
    #[display("cannot listen on {address}: {source}")]
    #[from(ignore)]
    Listen { address: std::net::SocketAddr, source: io::Error },
    #[display("cannot set up the runtime: {_0}")]
    #[from(ignore)]
    Runtime(io::Error),
    #[display("{_0}")]
    Transport(TransportError),
    #[display("cannot set up metrics: {_0}")]
    Metrics(metrics_exporter_prometheus::BuildError),
}
