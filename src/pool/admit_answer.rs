use crate::lease::Holding;
use crate::pool::Plan;

/// The pool owner's answer to an `Admission`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitAnswer {
    Plan(Plan),
    /// No capacity is available within the queue time.
    Full {
        retry_after_ms: u64,
        free_slots: u32,
    },
    /// This instance does not own the pool; the holder is given if known.
    NotHolder(Option<Holding>),
    /// No endpoint of the pool is in service for this request.
    NoEndpoint,
}
