use std::io;

use derive_more::{Display, Error, From};

/// Reason why a stand-in stopped.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    #[display("{_0}")]
    Io(io::Error),
    #[display("stopped by an injected crash")]
    Crashed,
}
