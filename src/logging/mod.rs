//! Structured logging to standard output.

mod json_appender;

pub use json_appender::init_json_logs;
