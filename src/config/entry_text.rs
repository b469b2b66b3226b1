use std::ops::Range;

use crate::config::DocumentText;
use crate::jsonc::member_ranges;

/// One entry of a section, copied into a small document with the same indentation. A
/// layout-preserving syntax tree of a whole 2.3 MB document would exceed the instance's memory
/// limit.
pub(super) struct EntryText<'a> {
    section: &'a str,
    section_name: &'a str,
    name: &'a str,
    /// Byte range of the entry's value in the section.
    range: Range<usize>,
    pub document: String,
}

impl<'a> EntryText<'a> {
    /// Extracts an entry. Returns `None` if it does not exist or does not start on its own line.
    pub fn of(text: &'a DocumentText, section_name: &'a str, name: &'a str) -> Option<Self> {
        let section_range = text.range(section_name)?;
        let section = &text.as_str()[section_range.clone()];
        let range = entry_range(section, name)?;
        let section_prefix = line_prefix(text.as_str(), section_range.start);
        let indent = &section_prefix[..section_prefix.len() - section_prefix.trim_start().len()];
        let prefix = line_prefix(section, range.start);
        let value = &section[range.clone()];
        let document =
            format!("{{\n{indent}\"{section_name}\": {{\n{prefix}{value}\n{indent}}}\n}}\n");
        let entry = EntryText { section, section_name, name, range, document };
        (entry.entry_value(&entry.document)? == value).then_some(entry)
    }

    /// Returns the section's text with the entry replaced by the one in the edited document.
    pub fn section_with(&self, edited: &str) -> Option<String> {
        let value = self.entry_value(edited)?;
        let (before, after) = (&self.section[..self.range.start], &self.section[self.range.end..]);
        Some([before, value, after].concat())
    }

    /// Returns the entry's value in a document that contains only this entry.
    fn entry_value<'d>(&self, document: &'d str) -> Option<&'d str> {
        let [(section_name, section)] = member_ranges(document).ok()?.try_into().ok()?;
        let section = &document[section];
        let [(name, value)] = member_ranges(section).ok()?.try_into().ok()?;
        (section_name == self.section_name && name == self.name).then(|| &section[value])
    }
}

fn entry_range(section: &str, name: &str) -> Option<Range<usize>> {
    let entries = member_ranges(section).ok()?;
    entries.into_iter().find(|(entry, _)| entry == name).map(|(_, range)| range)
}

/// Returns the text between the start of the line and `at`.
fn line_prefix(text: &str, at: usize) -> &str {
    let start = text[..at].rfind('\n').map_or(0, |end| end + 1);
    &text[start..at]
}
