use std::collections::HashMap;
use std::ops::Range;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

use crate::jsonc::JsoncError;
use crate::jsonc::locate::parse;

/// One step from a value to a value inside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step<'a> {
    Member(&'a str),
    Index(usize),
}

/// A parsed text in which values are looked up by path.
pub struct Positions<'a> {
    text: &'a str,
    root: Option<Value<'a>>,
}

impl<'a> Positions<'a> {
    /// Parses JSON with comments.
    pub fn parse(text: &'a str) -> Result<Positions<'a>, JsoncError> {
        Ok(Positions { text, root: parse(text)? })
    }

    /// Byte range of the top-level value.
    pub fn value_range(&self) -> Option<Range<usize>> {
        self.root.as_ref().map(|value| value.range().start..value.range().end)
    }

    /// An error at the value that `path` leads to, or at the innermost value on the path that
    /// exists. A member is reported at its name.
    pub fn error_at(&self, path: &[Step], message: impl Into<String>) -> JsoncError {
        JsoncError::at_offset(self.text, self.offset(path), message)
    }

    fn offset(&self, path: &[Step]) -> usize {
        let Some(mut value) = self.root.as_ref() else { return 0 };
        let mut offset = value.range().start;
        for step in path {
            let next = match (step, value) {
                (Step::Member(name), Value::Object(object)) => {
                    object.properties.iter().find(|p| p.name.as_str() == *name).map(|p| {
                        offset = p.range.start;
                        &p.value
                    })
                }
                (Step::Index(index), Value::Array(array)) => {
                    array.elements.get(*index).inspect(|element| offset = element.range().start)
                }
                _ => None,
            };
            let Some(next) = next else { break };
            value = next;
        }
        offset
    }

    /// Members whose name another member of the same object already has. A typed read keeps only
    /// the last of them.
    pub fn duplicate_members(&self) -> Vec<JsoncError> {
        let mut errors = Vec::new();
        if let Some(root) = &self.root {
            self.collect_duplicates(root, &mut errors);
        }
        errors
    }

    fn collect_duplicates(&self, value: &Value, errors: &mut Vec<JsoncError>) {
        match value {
            Value::Object(object) => {
                self.collect_duplicates_of(object, errors);
                object.properties.iter().for_each(|p| self.collect_duplicates(&p.value, errors));
            }
            Value::Array(array) => {
                array.elements.iter().for_each(|e| self.collect_duplicates(e, errors));
            }
            _ => {}
        }
    }

    fn collect_duplicates_of(&self, object: &Object, errors: &mut Vec<JsoncError>) {
        let mut seen = HashMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if let Some(first) = seen.insert(name, property.range.start) {
                let line = JsoncError::at_offset(self.text, first, "").line;
                let message = format!("{name}: the name is already used on line {line}");
                errors.push(JsoncError::at_offset(self.text, property.range.start, message));
            }
        }
    }
}
