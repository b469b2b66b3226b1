//! Requests that were running on an endpoint when it died.

mod suspicion;

pub use suspicion::Suspicion;
