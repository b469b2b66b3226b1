use crate::lease::Holding;
use crate::pool::Plan;

/// Answer to an `Admission`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitAnswer {
    Plan(Plan),
    Full {
        retry_after_ms: u64,
        free_slots: u32,
    },
    NotHolder(Option<Holding>),
    /// No endpoint of the pool is in service for this request.
    NoEndpoint,
}
