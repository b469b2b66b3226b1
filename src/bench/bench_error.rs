use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error, From};

use crate::http::HttpError;
use crate::usage_error::UsageError;

/// Error of a bench command: an experiment could not run, or a bound was missed.
#[derive(Debug, Display, Error, From)]
pub enum BenchError {
    #[display("{_0}")]
    Usage(UsageError),
    #[display("process {name}: {source}")]
    #[from(ignore)]
    Process { name: String, source: io::Error },
    #[display("process {name} ended or was not ready in time")]
    #[from(ignore)]
    NotReady { name: String },
    #[display("cannot write {}: {source}", path.display())]
    #[from(ignore)]
    Write { path: PathBuf, source: io::Error },
    #[display("the fleet did not become ready: timed out waiting for {waited_for}")]
    #[from(ignore)]
    FleetNotReady { waited_for: &'static str },
    #[display("{_0}")]
    Http(HttpError),
    #[display("runtime: {_0}")]
    Runtime(io::Error),
    #[display("cannot start relay: {_0}")]
    #[from(ignore)]
    Relay(io::Error),
    #[display("cannot draw plot: {reason}")]
    #[from(ignore)]
    Plot { reason: String },
    #[display("a bound was not met")]
    #[from(ignore)]
    BoundMissed,
}
