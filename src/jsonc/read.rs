use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;

use crate::jsonc::locate::options;
use crate::jsonc::plain::plain_json;
use crate::jsonc::{JsoncError, position_of_path};

/// Deserializes a value. Syntax errors, unknown members, wrong types and out-of-range values are
/// reported with their position in the text.
pub fn read_jsonc<T: DeserializeOwned>(text: &str) -> Result<T, JsoncError> {
    let plain = plain_json(text);
    if let Some(Ok(value)) = plain.as_deref().map(serde_json::from_str) {
        return Ok(value);
    }
    drop(plain);
    read_with_positions(text)
}

/// Deserializes through a tree of values, which is slower but gives the position of an error.
fn read_with_positions<T: DeserializeOwned>(text: &str) -> Result<T, JsoncError> {
    let value: serde_json::Value = parse_to_serde_value(text, &options())
        .map_err(|e| JsoncError::at_offset(text, e.range().start, e.kind().to_string()))?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        let offset = position_of_path(text, error.path());
        let reason = replace_integer_type_name(&error.inner().to_string());
        let message = match error.path().to_string().as_str() {
            "." => reason,
            path => format!("{path}: {reason}"),
        };
        JsoncError::at_offset(text, offset, message)
    })
}

/// Replaces names of Rust integer types in an error message by a description that users of the file
/// understand.
fn replace_integer_type_name(reason: &str) -> String {
    for name in ["expected u64", "expected u32"] {
        if let Some(start) = reason.strip_suffix(name) {
            return format!("{start}expected a whole number, 0 or more");
        }
    }
    reason.to_owned()
}
