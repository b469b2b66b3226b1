use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use rand::Rng;
use tokio::sync::{Notify, mpsc};

use crate::clock::{Clock, Instant};
use crate::fleet::Members;
use crate::replica::{
    Replica, RowChange, RowSource, Snapshot, SnapshotEncoding, SourceError, Topic,
};

/// Length of a long poll. Bounds the time until a silently broken connection is detected.
const POLL_MS: u64 = 4_000;
/// Shortest first poll after a change.
const MIN_FIRST_POLL_MS: u64 = 500;
/// Interval at which an instance that does not read the store checks whether it has become a
/// reader.
const READER_CHECK_MS: u64 = 300;
/// Delay after a failed read, for each instance whose reads fail, and its bounds. A store that has
/// just returned is called at a rate that does not grow with the fleet.
const RETRY_PER_FAILING_MS: u64 = 100;
const MIN_RETRY_MS: u64 = 300;
const MAX_RETRY_MS: u64 = 2_000;
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
    /// Duration of the next long poll; `None` until a short read has succeeded, since a store that
    /// is silent leaves a long poll open even after its return.
    next_poll_ms: Cell<Option<u64>>,
    /// Restarts the running poll, whose version is outdated once a peer's snapshot is applied.
    restart_poll: Notify,
    /// Compressed snapshot of the replica, with its content version.
    compressed: RefCell<Option<(u64, Bytes)>>,
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
            next_poll_ms: Cell::new(None),
            restart_poll: Notify::new(),
            compressed: RefCell::default(),
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

    /// The replica as peers read it. Compressed at most once for each change.
    pub fn encoded_snapshot(&self, encoding: SnapshotEncoding) -> Result<Bytes, SourceError> {
        let replica = self.replica.borrow();
        if encoding == SnapshotEncoding::Plain {
            return replica.snapshot().encode(encoding);
        }
        let mut compressed = self.compressed.borrow_mut();
        match &*compressed {
            Some((version, bytes)) if *version == replica.content_version() => Ok(bytes.clone()),
            _ => {
                let bytes = replica.snapshot().encode(encoding)?;
                *compressed = Some((replica.content_version(), bytes.clone()));
                Ok(bytes)
            }
        }
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
        // The running poll has not delivered the change, so the store may be silent.
        self.next_poll_ms.set(None);
        self.restart_poll.notify_one();
    }

    /// Follows the source until the receiver of the changes is dropped. In a large fleet only some
    /// instances poll the store; the others use it just for their first snapshot.
    pub async fn run(&self) {
        while !self.changes.is_closed() {
            let is_reader = self.members.borrow().is_reader(self.is_steady());
            if !is_reader && self.version() > 0 {
                self.next_poll_ms.set(None);
                tokio::time::sleep(Duration::from_millis(READER_CHECK_MS)).await;
                continue;
            }
            let started_at = self.clock.now();
            let read = tokio::select! {
                read = self.read_source() => read,
                () = self.restart_poll.notified() => continue,
            };
            let now = self.clock.now();
            self.record_read(&read, now.ms_since(started_at));
            match read {
                Ok(changes) => {
                    // Polls that start at a random point after a change do not all end in the same
                    // outage, so that some instance soon notices the end of a silent one.
                    let poll_ms = if changes.is_empty() && self.next_poll_ms.get().is_some() {
                        POLL_MS
                    } else {
                        rand::rng().random_range(MIN_FIRST_POLL_MS..=POLL_MS)
                    };
                    self.next_poll_ms.set(Some(poll_ms));
                    self.confirmed_at.set(Some(now));
                    self.publish_nonempty(changes);
                }
                Err(_) => self.wait_to_retry().await,
            }
        }
    }

    /// Reads all changes since the replica's version, or all rows if there is none or the history
    /// does not reach back to it.
    async fn read_source(&self) -> Result<Vec<RowChange>, SourceError> {
        let version = self.version();
        if version > 0 {
            let poll_ms = self.next_poll_ms.get().unwrap_or(0);
            match self.source.read_changes(self.topic, version, poll_ms).await {
                Err(SourceError::HistoryTruncated) => {}
                read => return Ok(self.replica.borrow_mut().apply_changes(read?)),
            }
            log::info!(target: "replica", topic = self.topic.to_string().as_str(),
                version = version; "change history truncated, reading all rows");
        }
        let snapshot = self.source.read_all(self.topic).await?;
        let is_table_empty = snapshot.rows.is_empty();
        let changes = self.replica.borrow_mut().apply_snapshot(snapshot);
        // An empty table yields no changes, but the receiver must learn that it was read.
        if version == 0 && is_table_empty {
            self.publish(Vec::new());
        }
        Ok(changes)
    }

    /// Counts a read of the store. Logs a failed one with the time it took, and the first one that
    /// succeeds after it.
    fn record_read(&self, read: &Result<Vec<RowChange>, SourceError>, read_ms: u64) {
        let result = if read.is_ok() { "ok" } else { "failed" };
        counter!("almondroad_node_store_reads_total", "topic" => self.topic.to_string(),
            "result" => result)
        .increment(1);
        let topic = self.topic.to_string();
        let (topic, version) = (topic.as_str(), self.version());
        match read {
            Ok(_) if self.last_failure.get() > self.confirmed_at.get() => {
                log::info!(target: "replica", topic = topic, version = version;
                    "store reads succeed again");
            }
            Ok(_) => {}
            Err(error) => log::warn!(target: "replica", topic = topic, version = version,
                read_ms = read_ms, error = error.to_string().as_str(); "store read failed"),
        }
    }

    /// Waits after a failed read. All instances whose reads fail share one rate of calls.
    async fn wait_to_retry(&self) {
        self.last_failure.set(Some(self.clock.now()));
        self.next_poll_ms.set(None);
        let failing = 1 + self.members.borrow().unsteady_count() as u64;
        let delay_ms = (RETRY_PER_FAILING_MS * failing).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        let delay_ms = rand::rng().random_range(delay_ms * 3 / 4..=delay_ms * 5 / 4);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
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
