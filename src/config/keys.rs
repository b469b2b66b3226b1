use std::fmt;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use smol_str::SmolStr;

use crate::config::Key;

/// Keys of an organisation, sorted by name. A slice is used because a `BTreeMap` node takes 640 B
/// even for one key, which is 7 MB for 11,000 organisations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keys(Box<[(SmolStr, Key)]>);

impl Keys {
    pub fn iter(&self) -> impl Iterator<Item = (&SmolStr, &Key)> {
        self.0.iter().map(|(name, key)| (name, key))
    }
}

impl<'de> Deserialize<'de> for Keys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Keys, D::Error> {
        deserializer.deserialize_map(KeysVisitor)
    }
}

struct KeysVisitor;

impl<'de> Visitor<'de> for KeysVisitor {
    type Value = Keys;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a map")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Keys, A::Error> {
        let mut keys: Vec<(SmolStr, Key)> = Vec::new();
        while let Some((name, key)) = map.next_entry()? {
            // On a duplicate name the last entry wins; validation reports the duplicate.
            keys.retain(|(known, _)| *known != name);
            keys.push((name, key));
        }
        keys.sort_by(|(a, _), (b, _)| a.cmp(b));
        Ok(Keys(keys.into_boxed_slice()))
    }
}
