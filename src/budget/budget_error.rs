use derive_more::{Display, Error};

/// Reason for refusing a charge. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum BudgetError {
    #[display("token rate exhausted; retry after {retry_after_ms} ms")]
    Exhausted { retry_after_ms: u64 },
    #[display("the holder of the token budget did not answer")]
    Unreachable,
    #[display("the organisation has no token rate")]
    UnknownOrganisation,
    #[display("the request needs more tokens than the organisation's burst")]
    LargerThanBurst,
}
