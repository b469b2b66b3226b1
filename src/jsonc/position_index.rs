use std::cell::RefCell;
use std::collections::HashMap;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;

use crate::jsonc::JsoncError;
use crate::jsonc::locate::parse;

/// A step of a path to a nested value: an object member or an array index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step<'a> {
    Member(&'a str),
    Index(usize),
}

/// A parsed text with lookup of source positions by path.
pub struct PositionIndex<'a> {
    text: &'a str,
    root: Option<Value<'a>>,
    line_starts: Vec<usize>,
    /// Member indices by name for each object that has been searched, by the object's start offset.
    /// Avoids linear searches when a document has findings for thousands of members.
    member_indices: RefCell<HashMap<usize, HashMap<String, usize>>>,
}

impl<'a> PositionIndex<'a> {
    /// Parses JSON with comments.
    pub fn parse(text: &'a str) -> Result<PositionIndex<'a>, JsoncError> {
        let line_ends = text.match_indices('\n').map(|(end, _)| end + 1);
        let line_starts = std::iter::once(0).chain(line_ends).collect();
        Ok(PositionIndex {
            text,
            root: parse(text)?,
            line_starts,
            member_indices: RefCell::default(),
        })
    }

    /// Like `parse`, for a text that has been parsed before. If it does not parse, the index is
    /// empty and errors are reported at the start of the text.
    pub fn parse_or_empty(text: &'a str) -> PositionIndex<'a> {
        let line_starts = vec![0];
        let empty =
            PositionIndex { text, root: None, line_starts, member_indices: RefCell::default() };
        PositionIndex::parse(text).unwrap_or(empty)
    }

    /// Creates an error at the value at `path`, or at the innermost existing value on the path. A
    /// member is located at its name.
    pub fn error_at(&self, path: &[Step], message: impl Into<String>) -> JsoncError {
        self.at_offset(self.offset(path), message)
    }

    fn at_offset(&self, offset: usize, message: impl Into<String>) -> JsoncError {
        let line = self.line(offset);
        let column = self.text[self.line_starts[line - 1]..offset].chars().count() + 1;
        JsoncError { line, column, message: message.into() }
    }

    fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Returns the first member with the given name.
    fn member<'v>(&self, object: &'v Object<'a>, name: &str) -> Option<&'v ObjectProp<'a>> {
        let mut member_indices = self.member_indices.borrow_mut();
        let member_indices = member_indices.entry(object.range.start).or_insert_with(|| {
            let members = object.properties.iter().enumerate().rev();
            members
                .map(|(member_index, member)| (member.name.as_str().to_owned(), member_index))
                .collect()
        });
        object.properties.get(*member_indices.get(name)?)
    }

    fn offset(&self, path: &[Step]) -> usize {
        let Some(mut value) = self.root.as_ref() else { return 0 };
        let mut offset = value.range().start;
        for step in path {
            let next = match (step, value) {
                (Step::Member(name), Value::Object(object)) => self.member(object, name).map(|p| {
                    offset = p.range.start;
                    &p.value
                }),
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

    /// Returns an error for each member whose name occurs earlier in the same object. Typed
    /// deserialization would keep only the last one.
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
                let line = self.line(first);
                let message = format!("{name}: the name is already used on line {line}");
                errors.push(self.at_offset(property.range.start, message));
            }
        }
    }
}
