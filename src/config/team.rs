use serde::Deserialize;
use smol_str::SmolStr;

use crate::units::KeyHash;

/// A team of operators and the sections it owns.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    pub credential_sha256: KeyHash,
    /// Sections that the team may edit. Each section is owned by exactly one team.
    pub sections: Vec<SmolStr>,
}
