//! The owner of a pool of prefill and decode endpoints.

mod admission;

pub use admission::{Admission, AdmitAnswer, AttemptEnd, Class, FinishedAttempt, Plan, Progress};
