//! The gateway's side of the pools: which pool, which owner, admission, reports.

mod admit;
mod admitted;
mod ask_pools;
mod finish;
mod holder;
mod report;
mod slots;

pub use admit::admit;
pub use admitted::Admitted;
pub use finish::finish_attempt;
pub use holder::{Holder, find_holder};
pub use report::{report_attempt, report_progress};
pub use slots::FreeSlots;
