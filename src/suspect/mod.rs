//! Requests that were running on an endpoint when it died.

mod suspects;
mod suspicion;

pub use suspects::Suspects;
pub use suspicion::Suspicion;
