use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use serde::Deserialize;

use crate::settings::SettingsError;

/// Timestamp, level, log target and message.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {t}: {m}{n}";

/// Format and level of the log on standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    #[serde(default)]
    pub format: LogFormat,
    #[serde(default)]
    pub level: LogLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
}

impl LogSettings {
    /// Installs the process-wide logger.
    pub fn init(&self) -> Result<(), SettingsError> {
        let appender = ConsoleAppender::builder().target(Target::Stderr);
        let appender = match self.format {
            LogFormat::Text => appender.encoder(Box::new(PatternEncoder::new(TEXT_PATTERN))),
            LogFormat::Json => appender.encoder(Box::new(JsonEncoder::new())),
        };
        let level = match self.level {
            LogLevel::Error => LevelFilter::Error,
            LogLevel::Warn => LevelFilter::Warn,
            LogLevel::Info => LevelFilter::Info,
            LogLevel::Debug => LevelFilter::Debug,
        };
        let config = Config::builder()
            .appender(Appender::builder().build("stderr", Box::new(appender.build())))
            .build(Root::builder().appender("stderr").build(level))
            .map_err(SettingsError::LoggingConfig)?;
        log4rs::init_config(config).map_err(SettingsError::Logging)?;
        Ok(())
    }
}
