use std::collections::VecDeque;

use crate::config::Change;
use crate::units::Version;

/// Cache of the newest consecutive changes, for peers that missed some of them.
#[derive(Debug, Default)]
pub(super) struct RecentChanges {
    changes: VecDeque<Change>,
    inserted_bytes: usize,
}

impl RecentChanges {
    const MAX_CHANGES: usize = 256;
    /// A small part of the 32 MB that an instance may use for control data.
    const MAX_BYTES: usize = 1 << 20;

    pub(super) fn push(&mut self, change: Change) {
        if self.changes.back().is_some_and(|last| last.version.get() + 1 != change.version.get()) {
            self.clear();
        }
        self.inserted_bytes += change.inserted.len();
        self.changes.push_back(change);
        while self.changes.len() > RecentChanges::MAX_CHANGES
            || self.inserted_bytes > RecentChanges::MAX_BYTES
        {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.inserted_bytes -= oldest.inserted.len();
        }
    }

    pub(super) fn clear(&mut self) {
        self.changes.clear();
        self.inserted_bytes = 0;
    }

    /// Returns all changes after `version`, or nothing if some are no longer cached.
    pub(super) fn since(&self, version: Version) -> Vec<Change> {
        let next = version.get() + 1;
        let known = self.changes.front().is_some_and(|oldest| oldest.version.get() <= next);
        if !known {
            return Vec::new();
        }
        self.changes.iter().filter(|c| c.version > version).cloned().collect()
    }
}
