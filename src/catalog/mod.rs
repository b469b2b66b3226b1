//! Service catalog of an instance: the routes, keys and limits that operators configure, and the
//! endpoints that register themselves. An adapter decodes them from rows of the store.

mod catalog_state;
mod customer;
mod decoder;
mod endpoint;
mod request_limits;
mod route;
mod service;
mod service_configuration;

pub use catalog_state::{Catalog, EndpointChange};
pub use customer::Customer;
pub use decoder::{DecodeError, OperatorRow, RowDecoder};
pub use endpoint::{Endpoint, EndpointRole};
pub use request_limits::RequestLimits;
pub use route::{Route, RouteKind, Target};
pub use service::{EngineProperties, Service};
pub use service_configuration::ServiceConfiguration;
