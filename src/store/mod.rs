//! Traits for the platform's table, object store and instance list, and their HTTP client.

mod http_store;
mod instance_list;
mod listed_instance;
mod object_store;
mod row;
mod store_error;
mod table;
mod transaction;

pub use http_store::{HttpStore, ReadRequest, ReadResponse, ScanRequest, ScanResponse};
pub use instance_list::InstanceList;
pub use listed_instance::{ListedInstance, ListedState};
pub use object_store::ObjectStore;
pub use row::Row;
pub use store_error::StoreError;
pub use table::Table;
pub use transaction::{CommitOutcome, Condition, Transaction, Write};
