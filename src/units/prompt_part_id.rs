use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::hash::stable_hash;
use crate::units::UnitError;

/// Identifies a part of a prompt. Prompts that begin alike share parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPartId(pub u64);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = UnitError;

    /// Reads a hexadecimal number. Any other text, such as a longer number, is hashed.
    fn from_str(text: &str) -> Result<PromptPartId, UnitError> {
        if text.is_empty() {
            return Err(UnitError::Empty("PromptPartId"));
        }
        let number = u64::from_str_radix(text, 16);
        Ok(PromptPartId(number.unwrap_or_else(|_| stable_hash(text))))
    }
}
