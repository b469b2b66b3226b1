use crate::config::Change;

/// A replacement of `removed_bytes` at `offset_bytes` of a text by `inserted`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Splice {
    pub offset_bytes: usize,
    pub removed_bytes: usize,
    pub inserted: String,
}

impl Splice {
    /// Returns the smallest splice that turns `old` into `new`, between their common prefix and
    /// suffix, at character boundaries.
    pub fn between(old: &str, new: &str) -> Splice {
        let equal = old.bytes().zip(new.bytes()).take_while(|(a, b)| a == b).count();
        let prefix = floor_char_boundary(old, new, equal);
        let (old_rest, new_rest) = (&old[prefix..], &new[prefix..]);
        let mut suffix =
            old_rest.bytes().rev().zip(new_rest.bytes().rev()).take_while(|(a, b)| a == b).count();
        while !old_rest.is_char_boundary(old_rest.len() - suffix)
            || !new_rest.is_char_boundary(new_rest.len() - suffix)
        {
            suffix -= 1;
        }
        Splice {
            offset_bytes: prefix,
            removed_bytes: old_rest.len() - suffix,
            inserted: new_rest[..new_rest.len() - suffix].to_owned(),
        }
    }

    pub fn of_change(change: &Change) -> Splice {
        Splice {
            offset_bytes: usize::try_from(change.offset_bytes).unwrap_or(usize::MAX),
            removed_bytes: usize::try_from(change.removed_bytes).unwrap_or(usize::MAX),
            inserted: change.inserted.clone(),
        }
    }

    /// Returns the resulting text, or `None` if the splice is out of bounds or splits a character.
    pub fn apply(&self, text: &str) -> Option<String> {
        let end = self.offset_bytes.checked_add(self.removed_bytes)?;
        let (head, tail) = (text.get(..self.offset_bytes)?, text.get(end..)?);
        Some([head, &self.inserted, tail].concat())
    }
}

fn floor_char_boundary(old: &str, new: &str, mut index: usize) -> usize {
    while !old.is_char_boundary(index) || !new.is_char_boundary(index) {
        index -= 1;
    }
    index
}
