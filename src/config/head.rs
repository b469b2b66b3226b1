use serde::{Deserialize, Serialize};

use crate::config::Witness;
use crate::units::{AttemptId, ContentHash, Version};

/// Value of the row `config/head`, which describes the newest version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub version: Version,
    pub hash: ContentHash,
    /// Attempt that wrote the row, so that a commit whose response was lost can be resolved by
    /// reading it.
    pub attempt: AttemptId,
    /// The next version is committed only after a majority of these has noted it.
    pub witnesses: Vec<Witness>,
}

impl Head {
    pub const KEY: &'static str = "config/head";
}
