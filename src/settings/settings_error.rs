use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error};

use crate::jsonc::JsoncError;

/// Why settings could not be loaded or applied.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    #[display("{}: {source}", file.display())]
    Unreadable { file: PathBuf, source: io::Error },
    #[display("{}: {source}", file.display())]
    Invalid { file: PathBuf, source: JsoncError },
    #[display("failed to set up logging: {_0}")]
    Logging(log::SetLoggerError),
    #[display("failed to set up logging: {_0}")]
    LoggingConfig(log4rs::config::runtime::ConfigErrors),
}
