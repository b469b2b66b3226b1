use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::{Notify, watch};

use crate::clock::{Clock, Instant};
use crate::config::recent_changes::RecentChanges;
use crate::config::{ActiveVersion, Change, ConfigError, ConfigPeers, Head, Snapshot, Witness};
use crate::store::{ObjectStore, Table};
use crate::units::{AttemptId, Version};

pub(super) const LOG: &str = "config";

/// Configuration state of one instance: holds the active version, commits edits and propagates
/// changes.
pub struct Configuration<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> {
    pub(super) table: T,
    pub(super) objects: O,
    pub(super) clock: C,
    pub(super) peers: W,
    /// Identity of this process, as a witness.
    pub(super) local_witness: Witness,
    pub(super) state: RefCell<State>,
    versions: watch::Sender<Version>,
    /// Wakes the task that fetches missing versions.
    pub(super) gap_notify: Notify,
}

pub(super) struct State {
    pub(super) active: Rc<ActiveVersion>,
    pub(super) recent: RecentChanges,
    /// Newest version that this instance has noted as a witness. The note expires at
    /// `note_expires_at`.
    pub(super) noted: Version,
    pub(super) note_expires_at: Instant,
    /// Newest version known to exist, which may not be installed yet.
    pub(super) newest_known: Version,
    /// Newest head row that has been read.
    pub(super) head: Option<Head>,
    /// Latest time at which the active version was known to be the newest.
    pub(super) confirmed_at: Option<Instant>,
    pub(super) store_read_at: Option<Instant>,
    /// Whether the previous check found that witnesses need replacement by this instance.
    pub(super) has_dead_witness: bool,
    next_sequence: u64,
}

impl<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> Configuration<T, O, C, W> {
    /// Creates a configuration at version 0, without a document. `start` and `run` load the newest
    /// version.
    pub fn new(table: T, objects: O, clock: C, peers: W, local_witness: Witness) -> Self {
        let state = State {
            active: Rc::new(ActiveVersion::empty()),
            recent: RecentChanges::default(),
            noted: Version(0),
            note_expires_at: Instant::default(),
            newest_known: Version(0),
            head: None,
            confirmed_at: None,
            store_read_at: None,
            has_dead_witness: false,
            next_sequence: 0,
        };
        Configuration {
            table,
            objects,
            clock,
            peers,
            local_witness,
            state: RefCell::new(state),
            versions: watch::Sender::new(Version(0)),
            gap_notify: Notify::new(),
        }
    }

    /// The active version on this instance.
    pub fn current(&self) -> Rc<ActiveVersion> {
        Rc::clone(&self.state.borrow().active)
    }

    /// Notifies of each newly installed version.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.versions.subscribe()
    }

    /// Returns the changes after `version`, oldest first, or nothing if some are no longer cached.
    pub fn changes_since(&self, version: Version) -> Vec<Change> {
        self.state.borrow().recent.since(version)
    }

    pub fn snapshot(&self) -> Snapshot {
        let active = self.current();
        Snapshot { version: active.version, text: active.text.as_str().into() }
    }

    /// Applies a change pushed by a peer and forwards it, if it directly follows the active
    /// version. A later change makes `run` fetch the missing versions. Returns the active version.
    pub fn apply(&self, change: Change) -> Version {
        let current = self.current().version;
        if change.version.get() == current.get() + 1 {
            match self.install_change(&change) {
                Ok(()) => self.peers.push(&change),
                Err(error) => {
                    log::warn!(target: LOG, "failed to apply pushed change {}: {error}", change.version);
                    self.record_known_version(change.version);
                }
            }
        } else if change.version > current {
            self.record_known_version(change.version);
        }
        self.current().version
    }

    /// Records that `version` exists and wakes the task that fetches it if it is not installed.
    pub(super) fn record_known_version(&self, version: Version) {
        let mut state = self.state.borrow_mut();
        if version > state.active.version {
            state.newest_known = state.newest_known.max(version);
            self.gap_notify.notify_one();
        }
    }

    /// Applies the change that directly follows the active version.
    pub(super) fn install_change(&self, change: &Change) -> Result<(), ConfigError> {
        let active = self.current();
        if change.version.get() != active.version.get() + 1 {
            return Err(ConfigError::Conflict { current: active.version });
        }
        let next = active.apply_change(change)?;
        self.install(next, Some(change));
        Ok(())
    }

    /// Makes `next` the active version unless the active version is at least as new.
    pub(super) fn install(&self, next: ActiveVersion, change: Option<&Change>) {
        let version = next.version;
        {
            let mut state = self.state.borrow_mut();
            if version <= state.active.version {
                return;
            }
            match change {
                Some(change) => state.recent.push(change.clone()),
                None => state.recent.clear(),
            }
            state.active = Rc::new(next);
        }
        self.versions.send_replace(version);
        log::info!(target: LOG, "version {version} is active");
    }

    pub(super) fn next_attempt(&self) -> AttemptId {
        let mut state = self.state.borrow_mut();
        state.next_sequence += 1;
        AttemptId {
            instance: self.local_witness.instance.clone(),
            incarnation: self.local_witness.incarnation,
            sequence: state.next_sequence,
        }
    }
}
