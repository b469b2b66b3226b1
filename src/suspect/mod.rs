//! Requests that were running on an endpoint when it died.

mod ran_request;
mod suspects;
mod suspicion;

pub use ran_request::RanRequest;
pub use suspects::Suspects;
pub use suspicion::Suspicion;
