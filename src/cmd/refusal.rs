use std::fmt;

use serde::Deserialize;

use crate::config::Finding;

/// Error response of a gateway.
#[derive(Clone, Debug, Deserialize)]
pub struct Refusal {
    pub code: String,
    pub message: String,
    #[serde(default)]
    pub findings: Vec<Finding>,
}

impl Refusal {
    fn next_step(&self) -> &'static str {
        match self.code.as_str() {
            "conflict" => "Get the section again, repeat your change in it and put it.",
            "unknown_credential" | "no_credential" => {
                "Set ALMONDROAD_CREDENTIAL or --credential-file to your team's credential."
            }
            "not_owner" => "Ask the team that owns the section; `almondroad get teams` names it.",
            "unknown_section" => "Run `almondroad get` to see the document's sections.",
            "unknown_entry" => "Run `almondroad get SECTION` to see the names in use.",
            "key_exists" => "Choose another name, or withdraw the existing key first.",
            "invalid_document" => {
                "Nothing was changed. Lines count from the start of the document with your text \
                 in place. Correct the text and put it again."
            }
            "wrong_content" => "Nothing was changed. Get the section again and repeat the edit.",
            "outcome_unknown" => "Run `almondroad history` before you repeat the edit.",
            "unknown_path" => "The gateway is of another release; use the client of its release.",
            _ => "Nothing was changed; try again in a few seconds.",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.message)?;
        self.findings.iter().try_for_each(|finding| writeln!(f, "{finding}"))?;
        write!(f, "{}", self.next_step())
    }
}
