use serde::Deserialize;

/// Whether new requests may be sent to an availability zone or an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    #[default]
    #[display("in")]
    In,
    #[display("out")]
    Out,
}
