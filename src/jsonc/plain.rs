//! Reading without a tree of values. The tree of a document of 2.3 MB took more than 30 MB, which
//! stayed with the process.

use std::fmt;
use std::ops::Range;

use jsonc_parser::tokens::Token;
use jsonc_parser::{Scanner, ScannerOptions};
use serde::Deserializer as _;
use serde::de::{MapAccess, Visitor};
use serde_json::value::RawValue;
use smol_str::SmolStr;

/// The text with spaces in place of comments and trailing commas, at the same offsets. `None` if
/// it is not JSON with comments.
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
    // A comma after the last value stays, so that the reader refuses it.
    if let Some(at) = comma {
        plain[at] = b',';
    }
    String::from_utf8(plain).ok()
}

/// Name and byte range of the value of each member of the top-level object.
pub(super) fn plain_member_ranges(plain: &str) -> Option<Vec<(SmolStr, Range<usize>)>> {
    let mut deserializer = serde_json::Deserializer::from_str(plain);
    let members = deserializer.deserialize_map(MemberRanges { start: plain.as_ptr() as usize });
    let members = members.ok()?;
    deserializer.end().ok()?;
    Some(members)
}

/// Byte range of the only value.
pub(super) fn plain_value_range(plain: &str) -> Option<Range<usize>> {
    let value: &RawValue = serde_json::from_str(plain).ok()?;
    let offset = value.get().as_ptr() as usize - plain.as_ptr() as usize;
    Some(offset..offset + value.get().len())
}

struct MemberRanges {
    /// Address of the text that the values are slices of.
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
