use serde::{Deserialize, Serialize};

/// Value of a table row. The revision changes with every write to the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub value: String,
    pub revision: u64,
}
