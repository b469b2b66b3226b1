//! Byte positions of values in the text of a document.

use std::ops::Range;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use smol_str::SmolStr;

use crate::jsonc::JsoncError;
use crate::jsonc::plain::{plain_json, plain_member_ranges, plain_value_range};

/// Returns the name of each member of the top-level object and the byte range of its value.
pub fn member_ranges(text: &str) -> Result<Vec<(SmolStr, Range<usize>)>, JsoncError> {
    let plain = plain_json(text);
    if let Some(ranges) = plain.as_deref().and_then(plain_member_ranges) {
        return Ok(ranges);
    }
    drop(plain);
    let value = parse(text)?;
    let Some(Value::Object(object)) = value else {
        return Err(JsoncError::at_offset(text, 0, "expected an object"));
    };
    let members = object.properties.iter().map(|property| {
        let range = property.value.range();
        (property.name.as_str().into(), range.start..range.end)
    });
    Ok(members.collect())
}

/// Returns the byte range of the top-level value, or `None` if the text has none.
pub fn value_range(text: &str) -> Result<Option<Range<usize>>, JsoncError> {
    let plain = plain_json(text);
    if let Some(range) = plain.as_deref().and_then(plain_value_range) {
        return Ok(Some(range));
    }
    drop(plain);
    Ok(parse(text)?.map(|value| value.range().start..value.range().end))
}

/// Returns the byte offset of the value at `path`, or of the innermost existing value on the path.
/// A member is located at its name.
pub fn position_of_path(text: &str, path: &serde_path_to_error::Path) -> usize {
    use serde_path_to_error::Segment;
    let Ok(Some(root)) = parse(text) else { return 0 };
    let mut value = &root;
    let mut offset = value.range().start;
    for segment in path.iter() {
        let next = match (segment, value) {
            (Segment::Map { key }, Value::Object(object)) => {
                object.properties.iter().find(|p| p.name.as_str() == key).map(|p| {
                    offset = p.range.start;
                    &p.value
                })
            }
            (Segment::Seq { index }, Value::Array(array)) => array.elements.get(*index),
            _ => None,
        };
        let Some(next) = next else { break };
        value = next;
        if matches!(segment, Segment::Seq { .. }) {
            offset = value.range().start;
        }
    }
    offset
}

pub(super) fn parse(text: &str) -> Result<Option<Value<'_>>, JsoncError> {
    parse_to_ast(text, &CollectOptions::default(), &options())
        .map(|parsed| parsed.value)
        .map_err(|e| JsoncError::at_offset(text, e.range().start, e.kind().to_string()))
}

/// Parser options that allow comments and trailing commas. The parser's defaults also accept
/// missing commas and unquoted names, which would hide mistakes.
pub(super) fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_loose_object_property_names: false,
        ..ParseOptions::default()
    }
}
