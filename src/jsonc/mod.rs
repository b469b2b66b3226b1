//! JSON with comments: typed reading with errors that name line, column and what was expected.

mod jsonc_error;
mod locate;
mod positions;
mod read;

pub use jsonc_error::JsoncError;
pub use locate::{member_ranges, position_of_path};
pub use positions::{Positions, Step};
pub use read::read_jsonc;
