use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use tokio::sync::{Notify, mpsc};

use crate::clock::{Clock, Instant};
use crate::fleet::Members;
use crate::replica::{Replica, RowChange, RowSource, Snapshot, SourceError, Topic};

/// Length of a long poll. Bounds the time until a silently broken connection is detected.
const POLL_MS: u64 = 4_000;
/// Interval at which an instance that does not read the store checks whether it has become a
/// reader.
const READER_CHECK_MS: u64 = 300;
/// Initial delay after a failed read; doubles with each failure up to `MAX_RETRY_MS`.
const MIN_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 500;
/// Time after a failed read during which reads of the store do not count as steady.
const STEADY_AFTER_MS: u64 = 3_000;

/// Keeps the replica of one table up to date and publishes its changes.
pub struct Follower<S, C> {
    topic: Topic,
    source: Rc<S>,
    members: Rc<RefCell<Members>>,
    clock: C,
    replica: RefCell<Replica>,
    changes: mpsc::UnboundedSender<(Topic, Vec<RowChange>)>,
    last_failure: Cell<Option<Instant>>,
    confirmed_at: Cell<Option<Instant>>,
    /// Restarts the running poll, whose version is outdated once a peer's snapshot is applied.
    restart_poll: Notify,
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
            restart_poll: Notify::new(),
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

    /// Time of the last successful poll of the store.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// True if no read of the store has failed within the last `STEADY_AFTER_MS`.
    pub fn is_steady(&self) -> bool {
        let now = self.clock.now();
        self.last_failure.get().is_none_or(|failed| now.ms_since(failed) > STEADY_AFTER_MS)
    }

    /// Applies a snapshot read from a peer if it is newer than the replica.
    pub fn apply_peer_snapshot(&self, peer: Ipv4Addr, snapshot: Snapshot) {
        let version = snapshot.version;
        if version <= self.version() {
            return;
        }
        let changes = self.replica.borrow_mut().apply_snapshot(snapshot);
        log::info!(target: "replica", topic = self.topic.to_string().as_str(), version = version,
            peer = peer.to_string().as_str(), changes = changes.len();
            "applied snapshot from peer");
        self.publish_nonempty(changes);
        self.restart_poll.notify_one();
    }

    /// Follows the source until the receiver of the changes is dropped. In a large fleet only some
    /// instances poll the store; the others use it just for their first snapshot.
    pub async fn run(&self) {
        let mut retry_ms = MIN_RETRY_MS;
        while !self.changes.is_closed() {
            let is_reader = self.members.borrow().is_reader(self.is_steady());
            if !is_reader && self.version() > 0 {
                tokio::time::sleep(Duration::from_millis(READER_CHECK_MS)).await;
                continue;
            }
            let started_at = self.clock.now();
            let read = tokio::select! {
                read = self.poll_source() => read,
                () = self.restart_poll.notified() => continue,
            };
            let now = self.clock.now();
            self.record_read(&read, now.ms_since(started_at));
            match read {
                Ok(changes) => {
                    if retry_ms > MIN_RETRY_MS {
                        log::info!(target: "replica", topic = self.topic.to_string().as_str(),
                            version = self.version(); "store reads succeed again");
                    }
                    retry_ms = MIN_RETRY_MS;
                    self.confirmed_at.set(Some(now));
                    self.publish_nonempty(changes);
                }
                Err(SourceError::HistoryTruncated) => {
                    log::info!(target: "replica", topic = self.topic.to_string().as_str(),
                        version = self.version(); "change history truncated, reading all rows");
                    let snapshot = self.source.read_all(self.topic).await;
                    self.record_read(&snapshot, self.clock.now().ms_since(now));
                    match snapshot {
                        Ok(snapshot) => {
                            let changes = self.replica.borrow_mut().apply_snapshot(snapshot);
                            self.publish_nonempty(changes);
                        }
                        Err(_) => self.back_off(&mut retry_ms).await,
                    }
                }
                Err(_) => self.back_off(&mut retry_ms).await,
            }
        }
    }

    async fn poll_source(&self) -> Result<Vec<RowChange>, SourceError> {
        let version = self.version();
        if version == 0 {
            let snapshot = self.source.read_all(self.topic).await?;
            let is_table_empty = snapshot.rows.is_empty();
            let changes = self.replica.borrow_mut().apply_snapshot(snapshot);
            // An empty table yields no changes, but the receiver must learn that it was read.
            if is_table_empty {
                self.publish(Vec::new());
            }
            return Ok(changes);
        }
        let changes = self.source.read_changes(self.topic, version, POLL_MS).await?;
        Ok(self.replica.borrow_mut().apply_changes(changes))
    }

    /// Counts a read of the store, and logs a failed one with the time it took.
    fn record_read<T>(&self, read: &Result<T, SourceError>, read_ms: u64) {
        let result = match read {
            Ok(_) => "ok",
            Err(SourceError::HistoryTruncated) => "truncated",
            Err(SourceError::Unavailable { .. }) => "failed",
        };
        counter!("almondroad_node_store_reads_total", "topic" => self.topic.to_string(),
            "result" => result)
        .increment(1);
        if let Err(error @ SourceError::Unavailable { .. }) = read {
            log::warn!(target: "replica", topic = self.topic.to_string().as_str(),
                version = self.version(), read_ms = read_ms, error = error.to_string().as_str();
                "store read failed");
        }
    }

    async fn back_off(&self, retry_ms: &mut u64) {
        self.last_failure.set(Some(self.clock.now()));
        tokio::time::sleep(Duration::from_millis(*retry_ms)).await;
        *retry_ms = (*retry_ms * 2).min(MAX_RETRY_MS);
    }

    fn publish_nonempty(&self, changes: Vec<RowChange>) {
        if !changes.is_empty() {
            self.publish(changes);
        }
    }

    fn publish(&self, changes: Vec<RowChange>) {
        // Fails only if the receiver was dropped at shutdown, which ends `run`.
        let _ = self.changes.send((self.topic, changes));
    }
}
