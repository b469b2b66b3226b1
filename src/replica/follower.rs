use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};

use crate::clock::{Clock, Instant};
use crate::fleet::Members;
use crate::replica::{Replica, RowChange, RowSource, Snapshot, SourceError, Topic};

/// Length of a long poll. Bounds the time for which a connection that went silent is not noticed.
const POLL_MS: u64 = 4_000;
/// Pause between looks whether an instance that does not read has become a reader.
const NOT_READER_MS: u64 = 300;
/// Pause after a failed read; doubles up to `MAX_RETRY_MS`.
const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 500;
/// Time after a failed read for which the store does not count as steady.
const UNSTEADY_MS: u64 = 3_000;

/// Keeps a replica up to date and passes its changes on.
pub struct Follower<S, C> {
    topic: Topic,
    source: Rc<S>,
    members: Rc<RefCell<Members>>,
    clock: C,
    replica: RefCell<Replica>,
    changes: mpsc::UnboundedSender<(Topic, Vec<RowChange>)>,
    last_failure: Cell<Option<Instant>>,
    confirmed_at: Cell<Option<Instant>>,
    poll_again: Notify,
}

impl<S: RowSource, C: Clock> Follower<S, C> {
    pub fn new(
        topic: Topic,
        source: Rc<S>,
        members: Rc<RefCell<Members>>,
        clock: C,
        changes: mpsc::UnboundedSender<(Topic, Vec<RowChange>)>,
    ) -> Follower<S, C> {
        Follower {
            topic,
            source,
            members,
            clock,
            replica: RefCell::default(),
            changes,
            last_failure: Cell::new(None),
            confirmed_at: Cell::new(None),
            poll_again: Notify::new(),
        }
    }

    pub fn version(&self) -> u64 {
        self.replica.borrow().version()
    }

    pub fn content_version(&self) -> u64 {
        self.replica.borrow().content_version()
    }

    pub fn replica(&self) -> std::cell::Ref<'_, Replica> {
        self.replica.borrow()
    }

    /// When the store last confirmed the replica's version.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// Whether reads of the store have succeeded for some time.
    pub fn is_steady(&self) -> bool {
        let now = self.clock.now();
        self.last_failure.get().is_none_or(|failed| now.ms_since(failed) > UNSTEADY_MS)
    }

    /// Takes over a snapshot that a peer sent.
    pub fn apply_peer_snapshot(&self, snapshot: Snapshot) {
        let version = snapshot.version;
        if version <= self.version() {
            return;
        }
        let changes = self.replica.borrow_mut().apply_snapshot(snapshot);
        log::info!(target: "replica", topic = self.topic.to_string().as_str(), version = version,
            changes = changes.len(); "snapshot of a peer applied");
        self.pass_on(changes);
        self.poll_again.notify_one();
    }

    /// Follows the source until the receiver of the changes is dropped.
    pub async fn run(&self) {
        let mut retry_ms = MIN_RETRY_MS;
        while !self.changes.is_closed() {
            let is_reader = self.members.borrow().is_reader(self.is_steady());
            if !is_reader && self.version() > 0 {
                tokio::time::sleep(Duration::from_millis(NOT_READER_MS)).await;
                continue;
            }
            let read = tokio::select! {
                read = self.read_once() => read,
                () = self.poll_again.notified() => continue,
            };
            let now = self.clock.now();
            match read {
                Ok(changes) => {
                    if retry_ms > MIN_RETRY_MS {
                        log::info!(target: "replica", topic = self.topic.to_string().as_str(),
                            version = self.version(); "store regained");
                    }
                    retry_ms = MIN_RETRY_MS;
                    self.confirmed_at.set(Some(now));
                    self.pass_on(changes);
                }
                Err(SourceError::HistoryTruncated) => {
                    log::info!(target: "replica", topic = self.topic.to_string().as_str(),
                        version = self.version(); "history gone, reading all rows");
                    match self.source.read_all(self.topic).await {
                        Ok(snapshot) => {
                            let changes = self.replica.borrow_mut().apply_snapshot(snapshot);
                            self.pass_on(changes);
                        }
                        Err(error) => self.note_failure(&error, &mut retry_ms).await,
                    }
                }
                Err(error) => self.note_failure(&error, &mut retry_ms).await,
            }
        }
    }

    async fn read_once(&self) -> Result<Vec<RowChange>, SourceError> {
        let version = self.version();
        if version == 0 {
            let snapshot = self.source.read_all(self.topic).await?;
            let is_first = snapshot.rows.is_empty();
            let changes = self.replica.borrow_mut().apply_snapshot(snapshot);
            if is_first {
                self.pass_on_always(Vec::new());
            }
            return Ok(changes);
        }
        let changes = self.source.read_changes(self.topic, version, POLL_MS).await?;
        Ok(self.replica.borrow_mut().apply_changes(changes))
    }

    async fn note_failure(&self, error: &SourceError, retry_ms: &mut u64) {
        if *retry_ms == MIN_RETRY_MS {
            log::warn!(target: "replica", topic = self.topic.to_string().as_str(),
                version = self.version(), error = error.to_string().as_str(); "store lost");
        }
        self.last_failure.set(Some(self.clock.now()));
        tokio::time::sleep(Duration::from_millis(*retry_ms)).await;
        *retry_ms = (*retry_ms * 2).min(MAX_RETRY_MS);
    }

    fn pass_on(&self, changes: Vec<RowChange>) {
        if !changes.is_empty() {
            self.pass_on_always(changes);
        }
    }

    fn pass_on_always(&self, changes: Vec<RowChange>) {
        // The receiver is dropped at the end of the process only, which `run` notices.
        let _ = self.changes.send((self.topic, changes));
    }
}
