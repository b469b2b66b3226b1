//! Names that an object has twice.

use std::collections::HashSet;
use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use smol_str::SmolStr;

use crate::jsonc::plain::plain_json;

/// False if each object in the text certainly uses each name once. Keeps no more than the names of
/// the objects around the place of reading.
pub fn may_have_duplicate_members(text: &str) -> bool {
    let plain = plain_json(text);
    let read = plain.as_deref().map(serde_json::from_str::<UniqueNames>);
    !matches!(read, Some(Ok(_)))
}

/// Any value whose objects use each name once.
struct UniqueNames;

impl<'de> Deserialize<'de> for UniqueNames {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<UniqueNames, D::Error> {
        deserializer.deserialize_any(UniqueNames)
    }
}

impl<'de> Visitor<'de> for UniqueNames {
    type Value = UniqueNames;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value without a name that is used twice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<UniqueNames, A::Error> {
        let mut names = HashSet::new();
        while let Some((name, _)) = map.next_entry::<SmolStr, UniqueNames>()? {
            if !names.insert(name) {
                return Err(A::Error::custom("a name is used twice"));
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
