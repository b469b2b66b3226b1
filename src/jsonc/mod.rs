//! JSON with comments: typed deserialization with errors that give line, column and the expected
//! value.

mod duplicate_names;
mod jsonc_error;
mod locate;
mod plain;
mod position_index;
mod read;

pub use duplicate_names::may_have_duplicate_members;
pub use jsonc_error::JsoncError;
pub use locate::{member_ranges, position_of_path, value_range};
pub use position_index::{PositionIndex, Step};
pub use read::read_jsonc;
