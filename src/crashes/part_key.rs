use serde::{Deserialize, Serialize};

use crate::hash::stable_hash;
use crate::units::{PromptPartId, ServiceId};

/// Identifies a part of prompts of one service in messages between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey {
    pub service_key: u32,
    pub part: PromptPartId,
}

impl PartKey {
    /// Returns the keys of parts of prompts of one service.
    pub fn all<'a>(
        service: &ServiceId,
        parts: impl Iterator<Item = &'a PromptPartId> + Clone,
    ) -> impl Iterator<Item = PartKey> + Clone {
        let service_key = stable_hash(service.as_str()) as u32;
        parts.map(move |part| PartKey { service_key, part: *part })
    }
}
