//! The gateway's side of the pools: which pool, which owner, admission, reports.

mod admit;
mod finish;
mod holder;
mod report;
mod slots;

pub use admit::admit;
pub use finish::finish_attempt;
pub use holder::{Holder, find_holder};
pub use report::report_progress;
pub use slots::FreeSlots;
