use derive_more::{Display, Error};

/// A syntax error, or a value that does not match the expected type, with its position.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("line {line}, column {column}: {message}")]
pub struct JsoncError {
    pub line: usize,
    pub column: usize,
    pub message: String,
}

impl JsoncError {
    /// Creates an error at a byte offset of `text`.
    pub fn at_offset(text: &str, offset_bytes: usize, message: impl Into<String>) -> JsoncError {
        let mut end = offset_bytes.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        JsoncError {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            message: message.into(),
        }
    }
}
