use derive_more::{Display, Error};
use smol_str::SmolStr;

use crate::config::{Finding, Severity};
use crate::jsonc::JsoncError;
use crate::store::StoreError;
use crate::units::Version;

/// An edit that was rejected or failed, or a change that cannot be applied.
#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum ConfigError {
    #[display("the credential belongs to no team")]
    UnknownCredential,
    #[display("the credential's team does not own section {section}")]
    NotOwner { section: SmolStr },
    #[display("the document has no section {section}")]
    UnknownSection { section: SmolStr },
    #[display("{kind} {name} is not in the document")]
    UnknownEntry { kind: &'static str, name: SmolStr },
    #[display("organisation {organisation} already has a key {name}")]
    KeyExists { organisation: SmolStr, name: SmolStr },
    #[display("the document does not pass its checks")]
    Invalid {
        #[error(not(source))]
        findings: Vec<Finding>,
    },
    #[display("another edit came first; version {current} is in force")]
    Conflict { current: Version },
    #[display("no majority of the configuration witnesses noted version {version}")]
    NoMajority { version: Version },
    /// The edit had no effect.
    #[display("the platform is not available: {source}")]
    Store { source: StoreError },
    #[display("the platform's table is older than version {active}, which is in force")]
    StoreBehind { active: Version },
    #[display("the row {key} is malformed")]
    MalformedRow { key: SmolStr },
    /// The edit may have taken effect or may still take effect.
    #[display("the platform did not answer; version {version} may have been accepted")]
    OutcomeUnknown { version: Version },
    #[display("the content of section {section} after the change is not the one its hash names")]
    WrongContent { section: SmolStr },
    #[display("no document has been accepted yet")]
    NoDocument,
}

impl ConfigError {
    pub(super) fn invalid(at: JsoncError) -> ConfigError {
        ConfigError::Invalid { findings: vec![Finding::new(Severity::Error, at)] }
    }

    pub(super) fn store(source: StoreError) -> ConfigError {
        ConfigError::Store { source }
    }

    /// Stable machine-readable error code.
    pub fn code(&self) -> &'static str {
        match self {
            ConfigError::UnknownCredential => "unknown_credential",
            ConfigError::NotOwner { .. } => "not_owner",
            ConfigError::UnknownSection { .. } => "unknown_section",
            ConfigError::UnknownEntry { .. } => "unknown_entry",
            ConfigError::KeyExists { .. } => "key_exists",
            ConfigError::Invalid { .. } => "invalid_document",
            ConfigError::Conflict { .. } => "conflict",
            ConfigError::NoMajority { .. } => "no_majority",
            ConfigError::Store { .. } => "store_unavailable",
            ConfigError::StoreBehind { .. } => "store_behind",
            ConfigError::MalformedRow { .. } => "malformed_row",
            ConfigError::OutcomeUnknown { .. } => "outcome_unknown",
            ConfigError::WrongContent { .. } => "wrong_content",
            ConfigError::NoDocument => "no_document",
        }
    }
}
