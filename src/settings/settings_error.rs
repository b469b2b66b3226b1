use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error};

use crate::jsonc::JsoncError;

/// A settings file that cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    #[display("{}: {source}", file.display())]
    Unreadable { file: PathBuf, source: io::Error },
    #[display("{}: {source}", file.display())]
    Invalid { file: PathBuf, source: JsoncError },
    #[display("logging cannot be set up: {_0}")]
    Logging(log::SetLoggerError),
    #[display("logging cannot be set up: {_0}")]
    LoggingConfig(log4rs::config::runtime::ConfigErrors),
}
