//! JSON with comments: typed reading with errors that name line, column and what was expected.

mod jsonc_error;
mod locate;
mod names;
mod plain;
mod positions;
mod read;

pub use jsonc_error::JsoncError;
pub use locate::{member_ranges, position_of_path, value_range};
pub use names::may_have_duplicate_members;
pub use positions::{Positions, Step};
pub use read::read_jsonc;
