use std::collections::{BTreeMap, HashSet};

use bytes::Bytes;
use smol_str::SmolStr;

use crate::replica::{Changes, RowChange, Snapshot};

/// In-memory replica of one table. Its version never decreases.
#[derive(Debug, Default)]
pub struct Replica {
    version: u64,
    content_version: u64,
    rows: BTreeMap<SmolStr, (u64, Bytes)>,
}

impl Replica {
    /// Newest store version up to which all changes are applied; 0 before the first snapshot.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Version of the newest applied change. The store has one version counter for all tables, so
    /// `version` also increases without a change to this table.
    pub fn content_version(&self) -> u64 {
        self.content_version
    }

    pub fn rows(&self) -> impl Iterator<Item = (&SmolStr, &Bytes)> {
        self.rows.iter().map(|(key, (_, value))| (key, value))
    }

    /// Copies all rows, for peers.
    pub fn snapshot(&self) -> Snapshot {
        let rows = self.rows.iter().map(|(key, (version, value))| RowChange {
            key: key.clone(),
            version: *version,
            value: Some(value.clone()),
        });
        Snapshot { version: self.version, rows: rows.collect() }
    }

    /// Replaces the rows by those of a snapshot and returns the changes. An older snapshot is
    /// ignored.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) -> Vec<RowChange> {
        if snapshot.version < self.version || snapshot.version == 0 {
            return Vec::new();
        }
        let kept: HashSet<&SmolStr> = snapshot.rows.iter().map(|row| &row.key).collect();
        let deleted_keys: Vec<SmolStr> =
            self.rows.keys().filter(|key| !kept.contains(key)).cloned().collect();
        let mut changes: Vec<RowChange> = deleted_keys
            .into_iter()
            .map(|key| RowChange { key, version: snapshot.version, value: None })
            .collect();
        changes.extend(snapshot.rows);
        self.apply(snapshot.version, changes)
    }

    /// Applies changes read from the store and returns those that were new.
    pub fn apply_changes(&mut self, changes: Changes) -> Vec<RowChange> {
        self.apply(changes.version, changes.rows)
    }

    fn apply(&mut self, version: u64, rows: Vec<RowChange>) -> Vec<RowChange> {
        let mut applied = Vec::new();
        // A poll that started before a snapshot was applied may return rows that had been deleted
        // by the time of the snapshot.
        for row in rows.into_iter().filter(|row| row.version > self.version) {
            let known_version = self.rows.get(&row.key).map(|(version, _)| *version);
            if known_version.is_some_and(|known_version| known_version >= row.version) {
                continue;
            }
            match &row.value {
                Some(value) => {
                    self.rows.insert(row.key.clone(), (row.version, value.clone()));
                }
                None if known_version.is_none() => continue,
                None => {
                    self.rows.remove(&row.key);
                }
            }
            self.content_version = self.content_version.max(row.version);
            applied.push(row);
        }
        self.version = self.version.max(version);
        applied
    }
}
