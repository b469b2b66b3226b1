//! Tracks suspects: requests that were running on an endpoint when it crashed.

mod interrupted_request;
mod suspect_record;
mod suspects;

pub use interrupted_request::InterruptedRequest;
pub use suspect_record::SuspectRecord;
pub use suspects::Suspects;
