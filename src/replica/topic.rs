use derive_more::{Display, FromStr};

/// A table of the store that instances replicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, FromStr)]
pub enum Topic {
    /// Rows written by operators: the configuration and the zones that are out of service.
    #[display("operator")]
    Operator,
    /// Rows that endpoints write about themselves.
    #[display("endpoints")]
    Endpoints,
}

impl Topic {
    pub const ALL: [Topic; 2] = [Topic::Operator, Topic::Endpoints];

    /// Position in `ALL`, by which replicas and their versions are indexed.
    pub fn index(self) -> usize {
        self as usize
    }
}
