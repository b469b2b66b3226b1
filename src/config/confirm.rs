//! Confirmation that the active version is the newest, and the witness side of the protocol.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::clock::{Clock, Instant};
use crate::config::configuration::LOG;
use crate::config::{Change, ConfigError, ConfigPeers, Configuration, Confirmation, Head, Witness};
use crate::store::{ObjectStore, Row, StoreError, Table};
use crate::units::{Incarnation, Version};

/// How long a confirmation is valid. A revoked key must stop working within 3 s after the edit is
/// accepted; 0.5 s of that is left for the edit's response and the check of a request.
const CONFIRMED_MS: u64 = 2500;
/// A witness that takes longer to reply counts as unavailable.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(800);
/// Lifetime of a note without a commit. If notes did not expire and the store failed between note
/// and commit, the witnesses could not confirm the active version until the store recovered.
const NOTE_MS: u64 = 10_000;
/// Timeout for reads of the head row. Shorter than the read period, so that a stalled store does
/// not delay the next read.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(1000);

impl<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> Configuration<T, O, C, W> {
    /// Whether keyed requests may be accepted: the active version was the newest at most 2.5 s ago.
    pub fn is_confirmed(&self) -> bool {
        self.confirmation_deadline().is_some_and(|deadline| self.clock.now() < deadline)
    }

    pub(super) fn confirmation_deadline(&self) -> Option<Instant> {
        self.state.borrow().confirmed_at.map(|at| at.plus_ms(CONFIRMED_MS))
    }

    /// Confirmation state that this instance sends to its peers in heartbeats.
    pub fn confirmation(&self) -> Confirmation {
        let now = self.clock.now();
        let state = self.state.borrow();
        let age_ms = |at: Option<Instant>| at.map_or(u64::MAX, |at| now.ms_since(at));
        Confirmation {
            version: state.active.version,
            has_store: age_ms(state.store_read_at) <= CONFIRMED_MS,
            confirmed_age_ms: age_ms(state.confirmed_at),
        }
    }

    /// Processes a peer's reply to a heartbeat sent at `sent_at`. The confirmation's age is counted
    /// back from `sent_at`, which is before the peer replied, so a slow reply never makes it look
    /// newer.
    pub fn learn_confirmation(&self, confirmation: Confirmation, sent_at: Instant) {
        self.record_known_version(confirmation.version);
        if confirmation.version == self.current().version {
            let sent_ms = sent_at.as_ms();
            if let Some(at_ms) = sent_ms.checked_sub(confirmation.confirmed_age_ms) {
                self.confirm(confirmation.version, Instant::from_ms(at_ms));
            }
        }
    }

    /// Records that `version` was the newest version at `at`.
    pub(super) fn confirm(&self, version: Version, at: Instant) {
        let mut state = self.state.borrow_mut();
        if version.get() > 0 && version <= state.active.version {
            state.confirmed_at = state.confirmed_at.max(Some(at));
        }
    }

    /// Notes as a witness that `version` is about to be committed. Until the note expires or
    /// `version` is installed here, this instance does not confirm an older version. Returns
    /// `false` if `witness` is an earlier incarnation of this instance.
    pub fn note_version(&self, version: Version, witness: Incarnation) -> bool {
        if witness != self.local_witness.incarnation {
            return false;
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if version >= state.noted || now >= state.note_expires_at {
            state.noted = version;
            state.note_expires_at = now.plus_ms(NOTE_MS);
        }
        true
    }

    /// Returns the newest version that this instance has noted or installed, or `None` if `witness`
    /// is an earlier incarnation.
    pub fn noted_version(&self, witness: Incarnation) -> Option<Version> {
        if witness != self.local_witness.incarnation {
            return None;
        }
        let now = self.clock.now();
        let state = self.state.borrow();
        let active = state.active.version;
        Some(if now < state.note_expires_at { state.noted.max(active) } else { active })
    }

    /// Reads the head row and updates the local state from it.
    pub(super) async fn read_head(&self) -> Result<Option<(Head, u64)>, ConfigError> {
        let sent_at = self.clock.now();
        let keys = [Head::KEY.into()];
        let read = self.table.read(&keys);
        let rows = with_timeout(HEAD_TIMEOUT, read).await.map_err(ConfigError::store)?;
        let Some(Some(row)) = rows.into_iter().next() else {
            return Ok(None);
        };
        let head = parse_head(&row)?;
        self.apply_head(&head, sent_at);
        Ok(Some((head, row.revision)))
    }

    fn apply_head(&self, head: &Head, sent_at: Instant) {
        let current = self.current();
        if head.version < current.version {
            log::warn!(
                target: LOG,
                "ignoring head row at version {}, older than the active version {}",
                head.version, current.version
            );
            return;
        }
        {
            let mut state = self.state.borrow_mut();
            state.store_read_at = state.store_read_at.max(Some(sent_at));
            if state.head.as_ref().is_none_or(|known| known.version <= head.version) {
                state.head = Some(head.clone());
            }
        }
        if head.version == current.version {
            self.adopt_witnesses(head);
            self.confirm(head.version, sent_at);
        } else {
            self.record_known_version(head.version);
        }
    }

    /// Sets the active version's witnesses from its head row if they are unknown.
    fn adopt_witnesses(&self, head: &Head) {
        let mut state = self.state.borrow_mut();
        if state.active.witnesses.is_none() {
            let witnesses = head.witnesses.as_slice().into();
            state.active = state.active.with_witnesses(head.version, witnesses).into();
        }
    }

    /// Confirms the active version by a majority of its witnesses, without the store. Committing a
    /// newer version requires notes at a majority, and any two majorities share a witness.
    pub(super) async fn confirm_by_witnesses(&self) {
        let sent_at = self.clock.now();
        let active = self.current();
        let Some(witnesses) = active.witnesses.clone() else { return };
        let replies: FuturesUnordered<_> =
            witnesses.iter().map(|witness| self.query_noted_version(witness)).collect();
        let agree = replies.map(|noted| noted.is_some_and(|noted| noted <= active.version));
        if has_majority(agree, witnesses.len()).await {
            self.confirm(active.version, sent_at);
        }
    }

    async fn query_noted_version(&self, witness: &Witness) -> Option<Version> {
        if *witness == self.local_witness {
            return self.noted_version(self.local_witness.incarnation);
        }
        let reply = tokio::time::timeout(WITNESS_TIMEOUT, self.peers.noted_version(witness));
        reply.await.ok().flatten()
    }

    /// Waits until a majority of the witnesses have noted `version`, which is required before its
    /// commit. A witness whose process has ended counts as noted, since it can confirm nothing.
    pub(super) async fn collect_notes(
        &self,
        witnesses: &[Witness],
        version: Version,
    ) -> Result<(), ConfigError> {
        let notes: FuturesUnordered<_> =
            witnesses.iter().map(|witness| self.request_note(witness, version)).collect();
        if has_majority(notes, witnesses.len()).await {
            return Ok(());
        }
        Err(ConfigError::NoMajority { version })
    }

    /// Pushes `change` to the witnesses and returns whether a majority have installed its version.
    /// They then confirm no older version, even after their notes expire.
    pub(super) async fn activate_at_witnesses(
        &self,
        witnesses: &[Witness],
        change: &Change,
    ) -> bool {
        let known: FuturesUnordered<_> =
            witnesses.iter().map(|witness| self.activate_at(witness, change)).collect();
        has_majority(known, witnesses.len()).await
    }

    async fn activate_at(&self, witness: &Witness, change: &Change) -> bool {
        if *witness == self.local_witness {
            return self.current().version >= change.version;
        }
        if self.peers.is_gone(witness) {
            return true;
        }
        let reply = self.peers.push_to(witness, change);
        let active = tokio::time::timeout(WITNESS_TIMEOUT, reply).await.ok().flatten();
        active.is_some_and(|version| version >= change.version)
    }

    async fn request_note(&self, witness: &Witness, version: Version) -> bool {
        if *witness == self.local_witness {
            return self.note_version(version, self.local_witness.incarnation);
        }
        if self.peers.is_gone(witness) {
            return true;
        }
        let reply = self.peers.note_version(witness, version);
        tokio::time::timeout(WITNESS_TIMEOUT, reply).await.unwrap_or(false)
    }
}

/// Limits the time of a call to the platform. The outcome of a call that times out is unknown.
pub(super) async fn with_timeout<R>(
    limit: Duration,
    call: impl Future<Output = Result<R, StoreError>>,
) -> Result<R, StoreError> {
    let timed_out =
        |_| StoreError::Unanswered { address: "platform".into(), reason: "late".into() };
    tokio::time::timeout(limit, call).await.map_err(timed_out)?
}

/// Returns whether more than half of `total` votes are in favour, without waiting for further votes
/// once a majority is reached.
async fn has_majority(votes: impl StreamExt<Item = bool>, total: usize) -> bool {
    let mut votes = std::pin::pin!(votes);
    let mut in_favour = 0;
    while let Some(vote) = votes.next().await {
        in_favour += usize::from(vote);
        if in_favour > total / 2 {
            return true;
        }
    }
    false
}

pub(super) fn parse_head(row: &Row) -> Result<Head, ConfigError> {
    serde_json::from_str(&row.value)
        .map_err(|_| ConfigError::MalformedRow { key: Head::KEY.into() })
}
