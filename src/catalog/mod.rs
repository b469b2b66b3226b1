//! What an instance knows of the service: routes, keys and limits of the operators, and the
//! endpoints that registered themselves. Decoded from rows of the store by an adapter.

mod call_limits;
mod customer;
mod decoder;
mod endpoint;
mod known;
mod route;
mod service;
mod service_configuration;

pub use call_limits::CallLimits;
pub use customer::Customer;
pub use decoder::{DecodeError, OperatorRow, RowDecoder};
pub use endpoint::{Endpoint, EndpointRole};
pub use known::{Catalog, EndpointChange};
pub use route::{Route, RouteKind, Target};
pub use service::{EngineTraits, Service};
pub use service_configuration::ServiceConfiguration;
