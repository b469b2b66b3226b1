use serde::{Deserialize, Serialize};

/// Settings of a plain service stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSettings {
    /// Field of the JSON body that names the effect of a call.
    pub effect_field: String,
    /// Header that names the effect if the body does not; the path is used if both are missing.
    pub effect_header: String,
    pub service_ms: u64,
    /// File to which the name of each effect is appended, so that the counts survive a crash.
    pub effects_file: Option<String>,
    /// Text that occurs only in callers' keys; requests that contain it are counted.
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

/// Point of a call at which an injected fault takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultPoint {
    BeforeEffect,
    AfterEffect,
}

/// Faults to inject into a plain service. Setting faults replaces the current ones, and `{}` clears
/// them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    pub delay_ms: u64,
    /// Crashes the process during the next call that has an effect.
    pub crash: Option<FaultPoint>,
    /// Breaks the connection of each call instead of responding.
    pub cut: Option<FaultPoint>,
    /// Number of next calls that fail with status 500, without an effect.
    pub fail_calls: u64,
    /// One-time fault: stops responding on connections used so far; new connections work.
    pub silent: bool,
}
