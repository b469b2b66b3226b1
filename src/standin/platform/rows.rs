use std::collections::BTreeMap;
use std::ops::Bound;

use crate::store::{CommitOutcome, Row, Transaction};

/// Rows of the table, ordered by key. Each commit increments the revision.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

impl Rows {
    pub fn read(&self, keys: &[String]) -> Vec<Option<Row>> {
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    /// Rows whose key has the prefix and follows `after`, at most `limit`.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, Row)> {
        let start = if after < prefix { Bound::Included(prefix) } else { Bound::Excluded(after) };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect()
    }

    /// Applies all writes if all conditions hold, otherwise none.
    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        let failed_condition = transaction
            .conditions
            .iter()
            .find(|c| self.rows.get(&c.key).map(|row| row.revision) != c.revision);
        if let Some(condition) = failed_condition {
            return CommitOutcome::Conflict { key: condition.key.clone() };
        }
        self.revision += 1;
        let revision = self.revision;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let row = Row { value: value.clone(), revision };
                    self.rows.insert(write.key.clone(), row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        CommitOutcome::Applied { revision }
    }
}
