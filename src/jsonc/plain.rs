//! Conversion to plain JSON for reading without a tree of values. The tree of a 2.3 MB document
//! took more than 30 MB, which the process did not return to the system.

use std::fmt;
use std::ops::Range;

use jsonc_parser::tokens::Token;
use jsonc_parser::{Scanner, ScannerOptions};
use serde::Deserializer as _;
use serde::de::{MapAccess, Visitor};
use serde_json::value::RawValue;
use smol_str::SmolStr;

/// Replaces comments and trailing commas by spaces, so that all offsets stay the same. Returns
/// `None` if the text cannot be tokenized.
pub(super) fn plain_json(text: &str) -> Option<String> {
    let mut plain = vec![b' '; text.len()];
    let mut scanner = Scanner::new(text, &ScannerOptions::default());
    let mut comma = None;
    let mut follows_value = false;
    while let Some(token) = scanner.scan().ok()? {
        let is_end = matches!(token, Token::CloseBrace | Token::CloseBracket);
        match token {
            Token::CommentLine(_) | Token::CommentBlock(_) => continue,
            Token::Comma if follows_value => {
                comma = Some(scanner.token_start());
                follows_value = false;
                continue;
            }
            _ => {}
        }
        if let Some(at) = comma.take()
            && !is_end
        {
            plain[at] = b',';
        }
        let range = scanner.token_start()..scanner.token_end();
        plain[range.clone()].copy_from_slice(&text.as_bytes()[range]);
        follows_value =
            !matches!(token, Token::OpenBrace | Token::OpenBracket | Token::Comma | Token::Colon);
    }
    // Keep a comma after the top-level value, so that the JSON parser rejects it.
    if let Some(at) = comma {
        plain[at] = b',';
    }
    String::from_utf8(plain).ok()
}

/// Returns the name of each member of the top-level object and the byte range of its value.
pub(super) fn plain_member_ranges(plain: &str) -> Option<Vec<(SmolStr, Range<usize>)>> {
    let mut deserializer = serde_json::Deserializer::from_str(plain);
    let members = deserializer.deserialize_map(MemberRanges { start: plain.as_ptr() as usize });
    let members = members.ok()?;
    deserializer.end().ok()?;
    Some(members)
}

/// Returns the byte range of the only value.
pub(super) fn plain_value_range(plain: &str) -> Option<Range<usize>> {
    let value: &RawValue = serde_json::from_str(plain).ok()?;
    let offset = value.get().as_ptr() as usize - plain.as_ptr() as usize;
    Some(offset..offset + value.get().len())
}

struct MemberRanges {
    /// Address of the text, of which the raw values are slices.
    start: usize,
}

impl<'de> Visitor<'de> for MemberRanges {
    type Value = Vec<(SmolStr, Range<usize>)>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut members = Vec::new();
        while let Some((name, value)) = map.next_entry::<SmolStr, &RawValue>()? {
            let offset = value.get().as_ptr() as usize - self.start;
            members.push((name, offset..offset + value.get().len()));
        }
        Ok(members)
    }
}
