//! Commit of a version: notes at the witnesses, the store transaction, and resolution of commits
//! whose response was lost.

use std::time::Duration;

use bytes::Bytes;

use crate::clock::Clock;
use crate::config::configuration::LOG;
use crate::config::confirm::{HEAD_TIMEOUT, parse_head, with_timeout};
use crate::config::proposal::Proposal;
use crate::config::{Change, ChangeRow, ConfigError, ConfigPeers, Configuration, Head, Witness};
use crate::store::{CommitOutcome, ObjectStore, StoreError, Table, Transaction};
use crate::units::Version;

/// Attempts to resolve a lost response, `RESOLVE_RETRY_DELAY` apart, before the outcome is reported
/// as unknown.
const RESOLVE_ATTEMPTS: u32 = 12;
const RESOLVE_RETRY_DELAY: Duration = Duration::from_millis(250);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
const OBJECT_PUT_TIMEOUT: Duration = Duration::from_secs(5);

enum Resolution {
    Accepted,
    /// Nothing was written. The head row is still at the base version and has this revision.
    NotApplied {
        revision: u64,
    },
}

impl<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> Configuration<T, O, C, W> {
    /// Commits the version after `base` in one transaction that requires an unchanged head row.
    pub(super) async fn commit(
        &self,
        proposal: Proposal,
        base: Option<(Head, u64)>,
    ) -> Result<Version, ConfigError> {
        let version = proposal.change.version;
        // The object is stored before the witnesses note the version: they confirm no older version
        // after that, so the time from note to commit must be short.
        if proposal.change.section != Change::WITNESSES {
            let content = Bytes::copy_from_slice(proposal.next.text.as_str().as_bytes());
            with_timeout(OBJECT_PUT_TIMEOUT, self.objects.put(content))
                .await
                .map_err(ConfigError::store)?;
        }
        let mut revision = None;
        let mut witnesses = Vec::new();
        if let Some((head, base_revision)) = base {
            self.collect_notes(&head.witnesses, version).await?;
            revision = Some(base_revision);
            witnesses = head.witnesses;
        }
        for _ in 0..RESOLVE_ATTEMPTS {
            let transaction = proposal
                .transaction(revision)
                .map_err(|_| ConfigError::MalformedRow { key: Head::KEY.into() })?;
            match with_timeout(COMMIT_TIMEOUT, self.table.commit(&transaction)).await {
                Ok(CommitOutcome::Applied { .. }) => {
                    return self.accept(proposal, &witnesses).await;
                }
                Err(source @ StoreError::Unavailable { .. }) => {
                    return Err(ConfigError::store(source));
                }
                // The transaction may have been delivered twice, in which case the second delivery
                // conflicts with the first.
                Ok(CommitOutcome::Conflict { .. }) => {}
                Err(error) => {
                    log::warn!(target: LOG, "commit of version {version} has an unknown outcome: {error}");
                }
            }
            match self.resolve(&proposal).await? {
                Resolution::Accepted => return self.accept(proposal, &witnesses).await,
                // Retry with the new revision; the row is still at the base version.
                Resolution::NotApplied { revision: newer } => revision = Some(newer),
            }
        }
        Err(ConfigError::Conflict { current: self.current().version })
    }

    /// Determines whether a commit took effect by looking for its attempt id in the change row.
    async fn resolve(&self, proposal: &Proposal) -> Result<Resolution, ConfigError> {
        let version = proposal.change.version;
        for _ in 0..RESOLVE_ATTEMPTS {
            match self.read_outcome(version).await {
                Ok((_, Some(row))) if row.attempt == proposal.attempt => {
                    return Ok(Resolution::Accepted);
                }
                // Change rows are written once, so a row of another attempt is conclusive even in a
                // stale read.
                Ok((head, Some(_))) => {
                    let current = head.map_or(version, |(head, _)| head.version.max(version));
                    self.record_known_version(current);
                    return Err(ConfigError::Conflict { current });
                }
                Ok((Some((head, revision)), None)) if head.version < version => {
                    if let Ok(CommitOutcome::Applied { revision }) =
                        self.fence(head, revision, version).await
                    {
                        return Ok(Resolution::NotApplied { revision });
                    }
                }
                Ok(_) | Err(_) => {}
            }
            tokio::time::sleep(RESOLVE_RETRY_DELAY).await;
        }
        Err(ConfigError::OutcomeUnknown { version })
    }

    async fn read_outcome(
        &self,
        version: Version,
    ) -> Result<(Option<(Head, u64)>, Option<ChangeRow>), ConfigError> {
        let key = ChangeRow::key(version);
        let keys = [Head::KEY.into(), key.clone()];
        let read = with_timeout(HEAD_TIMEOUT, self.table.read(&keys));
        let rows = read.await.map_err(ConfigError::store)?;
        let head = match rows.first().and_then(Option::as_ref) {
            Some(row) => Some((parse_head(row)?, row.revision)),
            None => None,
        };
        let malformed = |_| ConfigError::MalformedRow { key: key.into() };
        let row = match rows.get(1).and_then(Option::as_ref) {
            Some(row) => Some(serde_json::from_str(&row.value).map_err(malformed)?),
            None => None,
        };
        Ok((head, row))
    }

    /// Rewrites the head row to give it a new revision. If this succeeds, the commit of `version`
    /// has not taken effect, and a delayed one will fail its condition.
    async fn fence(
        &self,
        mut head: Head,
        revision: u64,
        version: Version,
    ) -> Result<CommitOutcome, ConfigError> {
        head.attempt = self.next_attempt();
        let value = serde_json::to_string(&head)
            .map_err(|_| ConfigError::MalformedRow { key: Head::KEY.into() })?;
        let fence = Transaction::default()
            .require(Head::KEY, Some(revision))
            .require(ChangeRow::key(version), None)
            .put(Head::KEY, value);
        with_timeout(COMMIT_TIMEOUT, self.table.commit(&fence)).await.map_err(ConfigError::store)
    }

    /// Installs a committed version, pushes it to the peers, and returns once a majority of the
    /// previous version's witnesses have installed it. Until then, a witness whose note has expired
    /// could confirm the previous version.
    async fn accept(
        &self,
        proposal: Proposal,
        witnesses: &[Witness],
    ) -> Result<Version, ConfigError> {
        let Proposal { change, next, team, .. } = proposal;
        let version = change.version;
        log::info!(target: LOG, "version {version} accepted: section {}, team {team}", change.section);
        // If an earlier version is still missing here, `run` fetches it.
        self.install(next, Some(&change));
        self.peers.push(&change);
        if witnesses.is_empty() {
            return Ok(version);
        }
        for _ in 0..RESOLVE_ATTEMPTS {
            if self.activate_at_witnesses(witnesses, &change).await {
                return Ok(version);
            }
            tokio::time::sleep(RESOLVE_RETRY_DELAY).await;
        }
        Err(ConfigError::OutcomeUnknown { version })
    }
}
