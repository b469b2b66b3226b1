use std::ops::Range;
use std::rc::Rc;

use smol_str::SmolStr;

use crate::config::{Change, ConfigError, Splice};
use crate::jsonc::{JsoncError, member_ranges, value_range};
use crate::units::ContentHash;

/// Names of the sections, in the order used by the examples.
pub const SECTIONS: [&str; 7] =
    ["teams", "organisations", "rates", "zones", "models", "endpoints", "routes"];

/// The document's text with the byte range of each section's value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentText {
    text: Rc<String>,
    sections: Vec<(SmolStr, Range<usize>)>,
    content_hash: ContentHash,
}

impl DocumentText {
    pub fn parse(text: &str) -> Result<DocumentText, JsoncError> {
        let content_hash = ContentHash::of_bytes(text.as_bytes());
        Ok(DocumentText {
            sections: member_ranges(text)?,
            text: Rc::new(text.to_owned()),
            content_hash,
        })
    }

    /// Empty text, used before any document has been accepted.
    pub(super) fn empty() -> DocumentText {
        DocumentText {
            text: Rc::default(),
            sections: Vec::new(),
            content_hash: ContentHash::of_bytes(b""),
        }
    }

    pub fn as_str(&self) -> &str {
        &self.text
    }

    pub fn content_hash(&self) -> ContentHash {
        self.content_hash
    }

    /// Text of a section's value.
    pub fn section(&self, name: &str) -> Option<&str> {
        self.range(name).map(|range| &self.text[range])
    }

    /// Replaces the value of one section. All bytes outside it are preserved.
    pub fn replace_section(
        &self,
        name: &str,
        new_text: &str,
    ) -> Result<(DocumentText, Splice), ConfigError> {
        let range =
            self.range(name).ok_or_else(|| ConfigError::UnknownSection { section: name.into() })?;
        let new_value = single_value(new_text).map_err(ConfigError::invalid)?;
        let mut splice = Splice::between(&self.text[range.clone()], new_value);
        splice.offset_bytes += range.start;
        let text =
            splice.apply(&self.text).ok_or(ConfigError::WrongContent { section: name.into() })?;
        let replaced = DocumentText::parse(&text).map_err(ConfigError::invalid)?;
        // Reject a value that changes how the rest of the document is parsed, since it would edit
        // other sections.
        if !replaced.has_same_sections_except(self, name) {
            return Err(ConfigError::WrongContent { section: name.into() });
        }
        Ok((replaced, splice))
    }

    /// Applies a change and verifies the content hash of the result. The content was validated when
    /// it was accepted, so the section ranges are only shifted: parsing the document of a large
    /// fleet would block the instance's only thread for 35 ms.
    pub fn apply(&self, change: &Change) -> Result<DocumentText, ConfigError> {
        let wrong_content = || ConfigError::WrongContent { section: change.section.clone() };
        let splice = Splice::of_change(change);
        let text = splice.apply(&self.text).ok_or_else(wrong_content)?;
        let content_hash = ContentHash::of_bytes(text.as_bytes());
        if content_hash != change.content_hash {
            return Err(wrong_content());
        }
        let sections = self.shifted_sections(&change.section, &splice).ok_or_else(wrong_content)?;
        Ok(DocumentText { text: Rc::new(text), sections, content_hash })
    }

    /// Returns the section ranges after a splice inside the section `name`, or `None` if the splice
    /// lies outside it.
    fn shifted_sections(
        &self,
        name: &str,
        splice: &Splice,
    ) -> Option<Vec<(SmolStr, Range<usize>)>> {
        let edited = self.range(name)?;
        let removed = splice.offset_bytes..splice.offset_bytes + splice.removed_bytes;
        if removed.start < edited.start || removed.end > edited.end {
            return None;
        }
        let shifted = |at: usize| at - splice.removed_bytes + splice.inserted.len();
        let sections = self.sections.iter().map(|(name, range)| {
            let start = if range.start > edited.start { shifted(range.start) } else { range.start };
            let end = if range.end >= edited.end { shifted(range.end) } else { range.end };
            (name.clone(), start..end)
        });
        Some(sections.collect())
    }

    pub(super) fn range(&self, name: &str) -> Option<Range<usize>> {
        self.sections.iter().find(|(n, _)| n == name).map(|(_, range)| range.clone())
    }

    fn has_same_sections_except(&self, other: &DocumentText, name: &str) -> bool {
        self.sections.len() == other.sections.len()
            && self.sections.iter().zip(&other.sections).all(|((a, a_range), (b, b_range))| {
                let same_text = self.text[a_range.clone()] == other.text[b_range.clone()];
                a == b && (a == name || same_text)
            })
    }
}

/// Returns the only value in `text`, without surrounding whitespace. Comments outside the value are
/// rejected, since they would be outside the section.
fn single_value(text: &str) -> Result<&str, JsoncError> {
    let range = value_range(text)?
        .ok_or_else(|| JsoncError::at_offset(text, 0, "expected a value, found nothing"))?;
    let (before, after) = (&text[..range.start], &text[range.end..]);
    for (outside, start) in [(before, 0), (after, range.end)] {
        if let Some(at) = outside.find(|c: char| !c.is_whitespace()) {
            let message = "expected only the section's value; put comments inside its brackets";
            return Err(JsoncError::at_offset(text, start + at, message));
        }
    }
    Ok(&text[range])
}
