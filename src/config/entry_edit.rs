use jsonc_parser::ParseOptions;
use jsonc_parser::cst::{CstInputValue, CstObject, CstRootNode};
use smol_str::{SmolStr, ToSmolStr};

use crate::clock::Clock;
use crate::config::entry_text::EntryText;
use crate::config::{ConfigError, ConfigPeers, Configuration, DocumentText, ServiceState};
use crate::jsonc::JsoncError;
use crate::store::{ObjectStore, Table};
use crate::units::{EndpointId, KeyHash, OrganisationId, Version, ZoneId};

/// Attempts to apply an edit, each on a newer version after a conflict.
const MAX_ATTEMPTS: u32 = 5;

/// An edit of one entry that preserves the section's comments and layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryEdit {
    AddKey { organisation: OrganisationId, name: SmolStr, sha256: KeyHash },
    WithdrawKey { organisation: OrganisationId, name: SmolStr },
    SetZone { zone: ZoneId, state: ServiceState },
    SetEndpoint { endpoint: EndpointId, state: ServiceState },
}

impl EntryEdit {
    pub fn section(&self) -> &'static str {
        match self {
            EntryEdit::AddKey { .. } | EntryEdit::WithdrawKey { .. } => "organisations",
            EntryEdit::SetZone { .. } => "zones",
            EntryEdit::SetEndpoint { .. } => "endpoints",
        }
    }

    fn entry(&self) -> &str {
        match self {
            EntryEdit::AddKey { organisation, .. }
            | EntryEdit::WithdrawKey { organisation, .. } => organisation.as_str(),
            EntryEdit::SetZone { zone, .. } => zone.as_str(),
            EntryEdit::SetEndpoint { endpoint, .. } => endpoint.as_str(),
        }
    }

    /// Returns the section's text after the edit.
    pub fn apply(&self, text: &DocumentText) -> Result<String, ConfigError> {
        if let Some(entry) = EntryText::of(text, self.section(), self.entry()) {
            let edited = self.apply_to(&entry.document)?;
            if let Some(section) = entry.section_with(&edited) {
                return Ok(section);
            }
        }
        let edited = self.apply_to(text.as_str())?;
        let edited = DocumentText::parse(&edited).map_err(ConfigError::invalid)?;
        Ok(edited.section(self.section()).unwrap_or_default().to_owned())
    }

    /// Returns the document after the edit.
    fn apply_to(&self, document: &str) -> Result<String, ConfigError> {
        let root = CstRootNode::parse(document, &ParseOptions::default())
            .map_err(|e| JsoncError::at_offset(document, e.range().start, e.to_string()))
            .map_err(ConfigError::invalid)?;
        let section = root
            .object_value()
            .and_then(|document| document.object_value(self.section()))
            .ok_or_else(|| ConfigError::UnknownSection { section: self.section().into() })?;
        match self {
            EntryEdit::AddKey { organisation, name, sha256 } => {
                let entry = entry(&section, "organisation", organisation.as_str())?;
                add_key(&entry, organisation, name, sha256)?;
            }
            EntryEdit::WithdrawKey { organisation, name } => {
                let entry = entry(&section, "organisation", organisation.as_str())?;
                let key = entry.object_value("keys").and_then(|keys| keys.get(name));
                key.ok_or_else(|| unknown_entry("key", name))?.remove();
            }
            EntryEdit::SetZone { zone, state } => {
                set_state(&entry(&section, "zone", zone.as_str())?, *state);
            }
            EntryEdit::SetEndpoint { endpoint, state } => {
                set_state(&entry(&section, "endpoint", endpoint.as_str())?, *state);
            }
        }
        Ok(root.to_string())
    }
}

fn unknown_entry(kind: &'static str, name: &str) -> ConfigError {
    ConfigError::UnknownEntry { kind, name: name.into() }
}

fn entry(section: &CstObject, kind: &'static str, name: &str) -> Result<CstObject, ConfigError> {
    section.object_value(name).ok_or_else(|| unknown_entry(kind, name))
}

fn add_key(
    entry: &CstObject,
    organisation: &OrganisationId,
    name: &SmolStr,
    sha256: &KeyHash,
) -> Result<(), ConfigError> {
    let keys = entry.object_value_or_set("keys");
    if keys.get(name).is_some() {
        let organisation = organisation.to_smolstr();
        return Err(ConfigError::KeyExists { organisation, name: name.clone() });
    }
    let hash = CstInputValue::String(sha256.to_string());
    keys.append(name, CstInputValue::Object(vec![("sha256".into(), hash)]));
    Ok(())
}

fn set_state(entry: &CstObject, state: ServiceState) {
    let value = CstInputValue::String(state.to_string());
    match entry.get("state") {
        Some(member) => member.set_value(value),
        None => {
            entry.append("state", value);
        }
    }
}

impl<T: Table, O: ObjectStore, C: Clock, W: ConfigPeers> Configuration<T, O, C, W> {
    /// Applies an edit to the newest version. It does not depend on the rest of the section, so it
    /// is retried after a conflict.
    pub async fn apply_entry_edit(
        &self,
        credential: &str,
        edit: &EntryEdit,
    ) -> Result<Version, ConfigError> {
        let mut outcome = Err(ConfigError::NoDocument);
        for _ in 0..MAX_ATTEMPTS {
            self.newest_head().await?;
            self.authorise(credential, Some(edit.section()))?;
            let active = self.current();
            let text = edit.apply(&active.text)?;
            outcome = self.edit(credential, edit.section(), active.version, &text).await;
            if !matches!(outcome, Err(ConfigError::Conflict { .. })) {
                break;
            }
        }
        outcome
    }
}
