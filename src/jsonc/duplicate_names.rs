//! Detection of objects with duplicate member names.

use std::collections::HashSet;
use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use smol_str::SmolStr;

use crate::jsonc::plain::plain_json;

/// Returns `false` only if no object in the text has duplicate member names. Keeps only the names
/// of the enclosing objects in memory while reading.
pub fn may_have_duplicate_members(text: &str) -> bool {
    let plain = plain_json(text);
    let read = plain.as_deref().map(serde_json::from_str::<UniqueNames>);
    !matches!(read, Some(Ok(_)))
}

/// Deserializes any value, but fails on an object with duplicate member names.
struct UniqueNames;

impl<'de> Deserialize<'de> for UniqueNames {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<UniqueNames, D::Error> {
        deserializer.deserialize_any(UniqueNames)
    }
}

impl<'de> Visitor<'de> for UniqueNames {
    type Value = UniqueNames;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value without duplicate member names")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<UniqueNames, A::Error> {
        let mut names = HashSet::new();
        while let Some((name, _)) = map.next_entry::<SmolStr, UniqueNames>()? {
            if !names.insert(name) {
                return Err(A::Error::custom("duplicate member name"));
            }
        }
        Ok(UniqueNames)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<UniqueNames, A::Error> {
        while seq.next_element::<UniqueNames>()?.is_some() {}
        Ok(UniqueNames)
    }

    fn visit_bool<E>(self, _: bool) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_i64<E>(self, _: i64) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_u64<E>(self, _: u64) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_f64<E>(self, _: f64) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_str<E>(self, _: &str) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_unit<E>(self) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }
}
