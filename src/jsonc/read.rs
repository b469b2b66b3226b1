use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::de::DeserializeOwned;

use crate::jsonc::{JsoncError, position_of_path};

/// Reads a typed value. An unknown member, a wrong type or a value out of range is reported at
/// its position in the text.
pub fn read_jsonc<T: DeserializeOwned>(text: &str) -> Result<T, JsoncError> {
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        ..ParseOptions::default()
    };
    let value: serde_json::Value = parse_to_serde_value(text, &options)
        .map_err(|e| JsoncError::at_offset(text, e.range().start, e.kind().to_string()))?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        let offset = position_of_path(text, error.path());
        let path = error.path().to_string();
        JsoncError::at_offset(text, offset, format!("{path}: {}", error.inner()))
    })
}
