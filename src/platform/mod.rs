//! The platform's services: table, object store and list of instances, behind small traits.

mod http_platform;
mod instance_list;
mod listed_instance;
mod objects;
mod platform_error;
mod row;
mod table;
mod transaction;

pub use http_platform::{HttpPlatform, ReadAnswer, ReadQuestion, ScanAnswer, ScanQuestion};
pub use instance_list::InstanceList;
pub use listed_instance::{ListedInstance, ListedState};
pub use objects::Objects;
pub use platform_error::PlatformError;
pub use row::Row;
pub use table::Table;
pub use transaction::{CommitOutcome, Condition, Transaction, Write};
