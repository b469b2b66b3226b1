use serde::Deserialize;

use crate::units::KeyHash;

/// A key of an organisation. Only its hash is stored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    pub sha256: KeyHash,
}
