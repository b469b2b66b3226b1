//! Gateway side of the pools: selects pools, finds their owners, requests admission and reports
//! progress.

mod admit;
mod admitted;
mod finish;
mod free_slots;
mod holder;
mod report;
mod request_from_pools;

pub use admit::admit;
pub use admitted::Admitted;
pub use finish::finish_attempt;
pub use free_slots::FreeSlots;
pub use holder::{Holder, find_holder};
pub use report::{report_attempt, report_progress};
