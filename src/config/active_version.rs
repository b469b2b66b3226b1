use std::collections::HashMap;
use std::rc::Rc;

use crate::config::{Change, ConfigError, Document, DocumentText, Witness};
use crate::jsonc::{JsoncError, read_jsonc};
use crate::units::{ContentHash, KeyHash, OrganisationId, Version};

/// The configuration version in use on this instance: document, text, witnesses and key index.
#[derive(Clone, Debug)]
pub struct ActiveVersion {
    pub version: Version,
    pub document: Rc<Document>,
    pub text: DocumentText,
    /// Witnesses of this version; `None` until the head row or the change that sets them has been
    /// read.
    pub(super) witnesses: Option<Rc<[Witness]>>,
    organisations: Rc<HashMap<KeyHash, OrganisationId>>,
}

impl ActiveVersion {
    /// Version 0, before any document has been accepted. No key is valid.
    pub fn empty() -> ActiveVersion {
        ActiveVersion {
            version: Version(0),
            document: Rc::default(),
            text: DocumentText::empty(),
            witnesses: None,
            organisations: Rc::default(),
        }
    }

    pub(super) fn new(
        version: Version,
        document: Document,
        text: DocumentText,
        witnesses: Option<Rc<[Witness]>>,
    ) -> ActiveVersion {
        let organisations = index_keys(&document);
        ActiveVersion { version, document: Rc::new(document), text, witnesses, organisations }
    }

    /// Parses a text without validating it, since it was validated when it was accepted.
    pub(super) fn from_text(
        version: Version,
        text: DocumentText,
        witnesses: Option<Rc<[Witness]>>,
    ) -> Result<ActiveVersion, JsoncError> {
        let document = read_jsonc(text.as_str())?;
        Ok(ActiveVersion::new(version, document, text, witnesses))
    }

    /// Returns the version that results from `change`.
    pub(super) fn apply_change(&self, change: &Change) -> Result<ActiveVersion, ConfigError> {
        if change.section == Change::WITNESSES {
            let witnesses: Vec<Witness> = serde_json::from_str(&change.inserted)
                .map_err(|_| ConfigError::WrongContent { section: change.section.clone() })?;
            if change.content_hash != self.content_hash() {
                return Err(ConfigError::WrongContent { section: change.section.clone() });
            }
            return Ok(self.with_witnesses(change.version, witnesses.into()));
        }
        let text = self.text.apply(change)?;
        let section = text.section(&change.section).unwrap_or_default();
        let document =
            self.document.with_section(&change.section, section).map_err(ConfigError::invalid)?;
        let organisations = if Rc::ptr_eq(&document.organisations, &self.document.organisations) {
            Rc::clone(&self.organisations)
        } else {
            index_keys(&document)
        };
        Ok(ActiveVersion {
            version: change.version,
            document: Rc::new(document),
            text,
            witnesses: self.witnesses.clone(),
            organisations,
        })
    }

    pub fn content_hash(&self) -> ContentHash {
        self.text.content_hash()
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation_of(&self, key: &KeyHash) -> Option<&OrganisationId> {
        self.organisations.get(key)
    }

    /// Returns the same document with the given version and witnesses.
    pub(super) fn with_witnesses(
        &self,
        version: Version,
        witnesses: Rc<[Witness]>,
    ) -> ActiveVersion {
        ActiveVersion { version, witnesses: Some(witnesses), ..self.clone() }
    }
}

fn index_keys(document: &Document) -> Rc<HashMap<KeyHash, OrganisationId>> {
    let keys = document.organisations.iter().flat_map(|(id, organisation)| {
        organisation.keys.iter().map(|(_, key)| (key.sha256, id.clone()))
    });
    Rc::new(keys.collect())
}
