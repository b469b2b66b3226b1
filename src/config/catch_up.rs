//! Loads the newest version at startup and fetches versions that were missed later.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use rand::seq::SliceRandom;

use crate::clock::Clock;
use crate::config::configuration::LOG;
use crate::config::confirm::HEAD_TIMEOUT;
use crate::config::{
    ActiveVersion, ChangeRow, ConfigError, ConfigPeers, Configuration, DocumentText, Head, Witness,
};
use crate::store::{ObjectStore, Table};
use crate::units::{ContentHash, InstanceId, Version};

/// Interval between reads of the head row; 370 instances cause 185 reads per second.
const CONFIRMED_PERIOD: Duration = Duration::from_secs(2);
const UNCONFIRMED_PERIOD: Duration = Duration::from_secs(1);
/// How long the store may take before the witnesses are queried. With the 2 s period this leaves
/// 300 ms until the confirmation expires.
const WITNESS_FALLBACK_DELAY: Duration = Duration::from_millis(200);
/// The witnesses are not queried while a confirmation younger than this is known, for example from
/// a peer.
const FRESH_CONFIRMATION_MS: u64 = 1000;
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
const OBJECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Larger gaps are filled from the snapshot instead of change rows.
const MAX_CHANGE_ROWS: u64 = 64;
const MAX_QUERIED_PEERS: usize = 3;
const MAX_PEERS_AT_START: usize = 8;
/// Delay before retrying a gap that could not be filled.
const GAP_RETRY_DELAY: Duration = Duration::from_millis(500);

impl<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> Configuration<T, O, C, W> {
    /// Loads the newest version known to the store and the peers.
    pub async fn start(&self) {
        tokio::join!(self.confirm_by_store(), self.query_peer_versions());
        self.catch_up().await;
        self.confirm_by_store().await;
    }

    /// Runs the background tasks until dropped: periodic confirmation, gap filling and replacement
    /// of dead witnesses.
    pub async fn run(self: Rc<Self>) {
        tokio::join!(
            self.confirm_periodically(),
            self.fill_gaps(),
            self.replace_witnesses_periodically()
        );
    }

    async fn confirm_periodically(&self) {
        loop {
            let started = tokio::time::Instant::now();
            let (has_store, ()) =
                tokio::join!(self.confirm_by_store(), self.confirm_without_store());
            // Without the store, the confirmation may come from a peer and be up to 1 s old, so it
            // could expire within the longer period.
            let uses_long_period = has_store && self.is_confirmed();
            let period = if uses_long_period { CONFIRMED_PERIOD } else { UNCONFIRMED_PERIOD };
            tokio::time::sleep_until(started + period).await;
        }
    }

    /// Runs in its own task so that a slow commit does not delay reads of the head row.
    async fn replace_witnesses_periodically(&self) {
        loop {
            tokio::time::sleep(CONFIRMED_PERIOD).await;
            if let Err(error) = self.replace_witnesses().await {
                log::warn!(target: LOG, "failed to replace witnesses: {error}");
            }
        }
    }

    /// Queries the witnesses if neither the store nor a peer has confirmed within the last second.
    async fn confirm_without_store(&self) {
        tokio::time::sleep(WITNESS_FALLBACK_DELAY).await;
        if !self.has_fresh_confirmation() {
            self.confirm_by_witnesses().await;
        }
    }

    async fn fill_gaps(&self) {
        loop {
            self.gap_notify.notified().await;
            self.catch_up().await;
            if self.has_gap() {
                tokio::time::sleep(GAP_RETRY_DELAY).await;
                self.gap_notify.notify_one();
            }
        }
    }

    /// Reads the head row and returns whether the read succeeded.
    async fn confirm_by_store(&self) -> bool {
        let read = self.read_head().await;
        if let Err(error) = &read {
            log::warn!(target: LOG, "failed to read head row: {error}");
        }
        read.is_ok()
    }

    fn has_fresh_confirmation(&self) -> bool {
        let now = self.clock.now();
        self.state.borrow().confirmed_at.is_some_and(|at| now.ms_since(at) < FRESH_CONFIRMATION_MS)
    }

    pub(super) fn has_gap(&self) -> bool {
        let state = self.state.borrow();
        state.newest_known > state.active.version
    }

    async fn query_peer_versions(&self) {
        let peers = self.random_peers(MAX_PEERS_AT_START);
        // No change is newer than this version, so the reply contains only the peer's version.
        let replies = join_all(peers.iter().map(|peer| {
            let reply = self.peers.changes_since(peer, Version(u64::MAX - 1));
            tokio::time::timeout(PEER_TIMEOUT, reply)
        }));
        for (_, version) in replies.await.into_iter().flatten().flatten() {
            self.record_known_version(version);
        }
    }

    /// Installs the newest known version. Tries change rows, changes from peers, the snapshot
    /// object and snapshots from peers, in this order.
    pub(super) async fn catch_up(&self) {
        if let Some(head) = self.newer_head() {
            let read = tokio::time::timeout(HEAD_TIMEOUT, self.apply_change_rows(head.version));
            self.log_outcome(read.await, "change rows");
        }
        if self.has_gap() {
            self.apply_changes_from_peers().await;
        }
        if self.has_gap() && self.newer_head().is_none() {
            self.confirm_by_store().await;
        }
        if let Some(head) = &self.newer_head() {
            let read = tokio::time::timeout(OBJECT_TIMEOUT, self.install_snapshot_object(head));
            self.log_outcome(read.await, "snapshot object");
        }
        if self.has_gap() {
            self.install_snapshot_from_peers().await;
        }
    }

    fn newer_head(&self) -> Option<Head> {
        let state = self.state.borrow();
        state.head.clone().filter(|head| head.version > state.active.version)
    }

    fn log_outcome<E>(&self, outcome: Result<Result<(), ConfigError>, E>, source: &str) {
        match outcome {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::warn!(target: LOG, "failed to fill gap from {source}: {error}"),
            Err(_) => log::warn!(target: LOG, "timed out filling gap from {source}"),
        }
    }

    async fn apply_change_rows(&self, newest: Version) -> Result<(), ConfigError> {
        let oldest = self.current().version.get() + 1;
        if newest.get() - oldest >= MAX_CHANGE_ROWS || oldest == 1 {
            return Ok(());
        }
        let keys: Vec<_> = (oldest..=newest.get()).map(|v| ChangeRow::key(Version(v))).collect();
        let rows = self.table.read(&keys).await.map_err(ConfigError::store)?;
        for (key, row) in keys.into_iter().zip(rows) {
            let Some(row) = row else { return Ok(()) };
            let row: ChangeRow = serde_json::from_str(&row.value)
                .map_err(|_| ConfigError::MalformedRow { key: key.into() })?;
            // A pushed change may have been installed during the read.
            if row.change.version > self.current().version {
                self.install_change(&row.change)?;
            }
        }
        Ok(())
    }

    async fn apply_changes_from_peers(&self) {
        if self.current().version == Version(0) {
            return;
        }
        for peer in self.random_peers(MAX_QUERIED_PEERS) {
            let reply = self.peers.changes_since(&peer, self.current().version);
            let Ok(Some((changes, _))) = tokio::time::timeout(PEER_TIMEOUT, reply).await else {
                continue;
            };
            for change in changes {
                if change.version > self.current().version
                    && let Err(error) = self.install_change(&change)
                {
                    log::warn!(target: LOG, "failed to apply change {} from {peer}: {error}", change.version);
                    break;
                }
            }
            if !self.has_gap() {
                return;
            }
        }
    }

    async fn install_snapshot_object(&self, head: &Head) -> Result<(), ConfigError> {
        let content = self.objects.get(head.hash).await.map_err(ConfigError::store)?;
        let wrong_content = || ConfigError::WrongContent { section: "".into() };
        let content = content.ok_or_else(wrong_content)?;
        let text = std::str::from_utf8(&content).map_err(|_| wrong_content())?;
        let witnesses = head.witnesses.as_slice().into();
        self.install_text(head.version, text, Some(head.hash), Some(witnesses))
    }

    async fn install_snapshot_from_peers(&self) {
        let head = self.state.borrow().head.clone();
        for peer in self.random_peers(MAX_QUERIED_PEERS) {
            let reply = tokio::time::timeout(PEER_TIMEOUT, self.peers.snapshot(&peer));
            let Ok(Some(snapshot)) = reply.await else { continue };
            if snapshot.version <= self.current().version {
                continue;
            }
            let head = head.as_ref().filter(|head| head.version == snapshot.version);
            let (hash, witnesses) = match head {
                Some(head) => (Some(head.hash), Some(head.witnesses.as_slice().into())),
                None => (None, None),
            };
            let installed = self.install_text(snapshot.version, &snapshot.text, hash, witnesses);
            self.log_outcome::<()>(Ok(installed), "a peer's snapshot");
            if !self.has_gap() {
                return;
            }
        }
    }

    fn install_text(
        &self,
        version: Version,
        text: &str,
        hash: Option<ContentHash>,
        witnesses: Option<Rc<[Witness]>>,
    ) -> Result<(), ConfigError> {
        let text = DocumentText::parse(text).map_err(ConfigError::invalid)?;
        if hash.is_some_and(|hash| hash != text.content_hash()) {
            return Err(ConfigError::WrongContent { section: "".into() });
        }
        let next =
            ActiveVersion::from_text(version, text, witnesses).map_err(ConfigError::invalid)?;
        self.install(next, None);
        Ok(())
    }

    fn random_peers(&self, max: usize) -> Vec<InstanceId> {
        let members = self.peers.members().into_iter().map(|member| member.instance);
        let mut peers: Vec<_> = members.filter(|i| *i != self.local_witness.instance).collect();
        peers.shuffle(&mut rand::rng());
        peers.truncate(max);
        peers
    }
}
