use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::jsonc::JsoncError;

/// A validation error or warning with its position in the document.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("line {line}, column {column}: {severity}: {message}")]
pub struct Finding {
    pub severity: Severity,
    pub line: usize,
    pub column: usize,
    pub message: String,
}

/// Whether a finding prevents the document from being accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    #[display("error")]
    Error,
    #[display("warning")]
    Warning,
}

impl Finding {
    pub fn new(severity: Severity, at: JsoncError) -> Finding {
        Finding { severity, line: at.line, column: at.column, message: at.message }
    }

    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}
