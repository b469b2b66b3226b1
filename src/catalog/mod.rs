//! What an instance knows of the service: routes, keys and limits of the operators, and the
//! endpoints that registered themselves. Decoded from rows of the store by an adapter.

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
