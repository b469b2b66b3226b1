use derive_more::{Display, FromStr};

/// A table that instances follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, FromStr)]
pub enum Topic {
    /// What operators wrote: the configuration and zones out of service.
    #[display("operator")]
    Operator,
    /// Entries that endpoints write of themselves.
    #[display("endpoints")]
    Endpoints,
}

impl Topic {
    pub const ALL: [Topic; 2] = [Topic::Operator, Topic::Endpoints];

    pub fn index(self) -> usize {
        self as usize
    }
}
