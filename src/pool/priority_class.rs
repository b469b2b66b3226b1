/// Priority class of a route.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    #[default]
    #[display("interactive")]
    Interactive,
    #[display("waiting")]
    Waiting,
}
