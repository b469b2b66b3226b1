//! Authorisation and validation of edits, and creation of the first document.

use smol_str::SmolStr;

use crate::clock::Clock;
use crate::config::proposal::Proposal;
use crate::config::{
    ActiveVersion, Change, ChangeRow, ConfigError, ConfigPeers, Configuration, DocumentText, Head,
    Splice, check_document,
};
use crate::store::{ObjectStore, Table};
use crate::units::{KeyHash, Version};

impl<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> Configuration<T, O, C, W> {
    /// Replaces one section and returns the accepted version. `base` is the version that the new
    /// text is based on. An edit that fails has no effect, unless the error is `OutcomeUnknown`.
    pub async fn edit(
        &self,
        credential: &str,
        section: &str,
        base: Version,
        new_text: &str,
    ) -> Result<Version, ConfigError> {
        let (head, revision) = self.newest_head().await?;
        let active = self.current();
        let team = self.authorise(credential, Some(section))?;
        if !self.differs_only_in_witnesses(base) {
            return Err(ConfigError::Conflict { current: active.version });
        }
        let (text, splice) = active.text.replace_section(section, new_text)?;
        if text == active.text {
            return Ok(active.version);
        }
        let change = build_change(section, splice, &text, active.version);
        let next = validate(change.version, text, &active)?;
        let attempt = self.next_attempt();
        let witnesses = head.witnesses.clone();
        let proposal = Proposal { next, change, team, attempt, witnesses };
        self.commit(proposal, Some((head, revision))).await
    }

    /// Returns the team that a credential belongs to. If a section is given, the team must own it.
    pub fn authorise(
        &self,
        credential: &str,
        section: Option<&str>,
    ) -> Result<SmolStr, ConfigError> {
        let active = self.current();
        let hash = KeyHash::of_key(credential);
        let mut teams = active.document.teams.iter();
        let (name, team) = teams
            .find(|(_, team)| team.credential_sha256 == hash)
            .ok_or(ConfigError::UnknownCredential)?;
        match section {
            Some(section) if active.text.section(section).is_none() => {
                Err(ConfigError::UnknownSection { section: section.into() })
            }
            Some(section) if !team.sections.iter().any(|s| s == section) => {
                Err(ConfigError::NotOwner { section: section.into() })
            }
            _ => Ok(name.clone()),
        }
    }

    /// Commits the first document, unless a document has already been accepted.
    pub async fn bootstrap(&self, text: &str) -> Result<Version, ConfigError> {
        if let Some((head, _)) = self.read_head().await? {
            self.catch_up().await;
            return Ok(head.version);
        }
        let text = DocumentText::parse(text).map_err(ConfigError::invalid)?;
        let change = Change {
            version: Version(1),
            section: Change::FIRST.into(),
            offset_bytes: 0,
            removed_bytes: 0,
            inserted: String::new(),
            content_hash: text.content_hash(),
        };
        let witnesses = self.choose_witnesses(&[]);
        let next = validate(change.version, text, &ActiveVersion::empty())?
            .with_witnesses(change.version, witnesses.as_slice().into());
        let attempt = self.next_attempt();
        let proposal = Proposal { next, change, team: "".into(), attempt, witnesses };
        match self.commit(proposal, None).await {
            // Another instance bootstrapped at the same time.
            Err(ConfigError::Conflict { current }) => {
                self.catch_up().await;
                Ok(current)
            }
            outcome => outcome,
        }
    }

    /// Returns the newest changes with their teams, newest first.
    pub async fn history(&self, limit: u64) -> Result<Vec<ChangeRow>, ConfigError> {
        let newest = self.current().version.get();
        let oldest = newest.saturating_sub(limit) + 1;
        let keys: Vec<_> =
            (oldest..=newest).rev().map(|version| ChangeRow::key(Version(version))).collect();
        let rows = self.table.read(&keys).await.map_err(ConfigError::store)?;
        let rows = keys.into_iter().zip(rows).filter_map(|(key, row)| Some((key, row?)));
        rows.map(|(key, row)| {
            serde_json::from_str(&row.value)
                .map_err(|_| ConfigError::MalformedRow { key: key.into() })
        })
        .collect()
    }

    /// Reads the head row and installs its version, so that an edit is checked against the newest
    /// document and teams.
    pub(super) async fn newest_head(&self) -> Result<(Head, u64), ConfigError> {
        loop {
            let known = self.current().version;
            let (head, revision) = self.read_head().await?.ok_or(ConfigError::NoDocument)?;
            if self.current().version < head.version {
                self.catch_up().await;
            }
            let active = self.current().version;
            if head.version > active {
                return Err(ConfigError::Conflict { current: head.version });
            }
            if head.version == active {
                return Ok((head, revision));
            }
            // If a pushed version was installed during the read, the store is not necessarily
            // behind: read again.
            if known == active {
                return Err(ConfigError::StoreBehind { active });
            }
        }
    }

    /// Whether only witnesses have been replaced since `base`, which must not make an operator's
    /// edit fail.
    fn differs_only_in_witnesses(&self, base: Version) -> bool {
        let current = self.current().version;
        if base >= current {
            return base == current;
        }
        let changes = self.changes_since(base);
        !changes.is_empty() && changes.iter().all(|change| change.section == Change::WITNESSES)
    }
}

fn build_change(section: &str, splice: Splice, text: &DocumentText, base: Version) -> Change {
    Change {
        version: Version(base.get() + 1),
        section: section.into(),
        offset_bytes: splice.offset_bytes as u64,
        removed_bytes: splice.removed_bytes as u64,
        inserted: splice.inserted,
        content_hash: text.content_hash(),
    }
}

/// Validates a text and builds the version that it would create.
fn validate(
    version: Version,
    text: DocumentText,
    active: &ActiveVersion,
) -> Result<ActiveVersion, ConfigError> {
    let (document, findings) = check_document(text.as_str());
    let document = document.ok_or(ConfigError::Invalid { findings })?;
    Ok(ActiveVersion::new(version, document, text, active.witnesses.clone()))
}
