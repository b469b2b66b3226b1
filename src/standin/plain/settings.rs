use serde::{Deserialize, Serialize};

/// Settings of a plain service's stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSettings {
    /// Member of the JSON body that names the effect of a call.
    pub effect_field: String,
    /// Header that names the effect if the body does not.
    pub effect_header: String,
    pub service_ms: u64,
    /// File to which each effect's name is appended, so that the counts outlive a crash.
    pub effects_file: Option<String>,
    /// Text that only callers' keys contain.
    pub key_marker: Option<String>,
}

impl Default for PlainSettings {
    fn default() -> PlainSettings {
        PlainSettings {
            effect_field: "order".into(),
            effect_header: "x-effect".into(),
            service_ms: 5,
            effects_file: None,
            key_marker: None,
        }
    }
}

/// Where a call ends before its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultPoint {
    BeforeEffect,
    AfterEffect,
}

/// Faults of a plain service. Each set of faults replaces the one before; `{}` ends all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    pub delay_ms: u64,
    /// The process crashes during the next call that has an effect.
    pub crash: Option<FaultPoint>,
    /// Breaks the connection of each call instead of answering.
    pub cut: Option<FaultPoint>,
    /// Answers 500 to the next calls, without an effect.
    pub fail_calls: u64,
    /// Makes the connections that were used so far silent, once.
    pub silent: bool,
}
