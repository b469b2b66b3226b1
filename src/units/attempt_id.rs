use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::units::{Incarnation, InstanceId, UnitError};

/// Identifier of one attempt of a request or of a table write. It contains the instance that made
/// the attempt, so that an endpoint's owner can ask that instance whether the attempt is still
/// running.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}/{}", self.instance, self.incarnation.0, self.sequence)
    }
}

impl FromStr for AttemptId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<AttemptId, UnitError> {
        let malformed = || UnitError::Malformed("AttemptId", text.into());
        let mut parts = text.rsplitn(3, '/');
        let sequence = parts.next().and_then(|s| s.parse().ok()).ok_or_else(malformed)?;
        let incarnation =
            parts.next().and_then(|s| u64::from_str_radix(s, 16).ok()).ok_or_else(malformed)?;
        let instance = parts.next().ok_or_else(malformed)?.parse()?;
        Ok(AttemptId { instance, incarnation: Incarnation(incarnation), sequence })
    }
}

impl Serialize for AttemptId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for AttemptId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<AttemptId, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
