use serde::Serialize;

/// Whether a refused or failed request ran on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Never ran on an endpoint; safe to send again.
    #[display("not_run")]
    NotRun,
    #[display("run")]
    Run,
    #[display("unknown")]
    Unknown,
}
