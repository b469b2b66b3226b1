use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::jsonc::{JsoncError, read_jsonc};
use crate::settings::SettingsError;

/// Reads a settings file. Unknown fields, wrong types and out-of-range values are errors with line
/// and column.
pub fn load_settings<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(file)
        .map_err(|source| SettingsError::Unreadable { file: file.into(), source })?;
    read_jsonc(&text)
        .map_err(|source: JsoncError| SettingsError::Invalid { file: file.into(), source })
}
