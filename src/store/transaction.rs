use serde::{Deserialize, Serialize};

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that the row is at `revision`, or does not exist if `revision` is `None`.
    pub fn require(mut self, key: impl Into<String>, revision: Option<u64>) -> Transaction {
        self.conditions.push(Condition { key: key.into(), revision });
        self
    }

    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Transaction {
        self.writes.push(Write { key: key.into(), value: Some(value.into()) });
        self
    }

    pub fn delete(mut self, key: impl Into<String>) -> Transaction {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    pub revision: Option<u64>,
}

/// Replaces a row, or deletes it if `value` is `None`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    pub key: String,
    pub value: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes were applied; the written rows have this revision.
    Applied { revision: u64 },
    /// A condition did not hold; nothing was written.
    Conflict { key: String },
}
