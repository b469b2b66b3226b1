//! Settings files: JSON with comments, validated completely at startup.

mod gateway_settings;
mod load;
mod log_settings;
mod settings_error;
mod tls_settings;
mod values;

pub use gateway_settings::{GatewaySettings, GatewaySettingsBuilder};
pub use load::load_settings;
pub use log_settings::{LogFormat, LogLevel, LogSettings};
pub use settings_error::SettingsError;
pub use tls_settings::TlsSettings;
