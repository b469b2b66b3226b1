use std::io;

use derive_more::{Display, Error, From};

/// Why a stand-in ended.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    #[display("{_0}")]
    Io(io::Error),
    #[display("crashed on demand")]
    Crashed,
}
