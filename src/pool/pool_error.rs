use derive_more::{Display, Error, From};

use crate::engine::EngineError;
use crate::units::EndpointId;

/// Errors of an order to an endpoint.
#[derive(Clone, Debug, PartialEq, Display, Error, From)]
pub enum PoolError {
    #[display("this instance does not hold the pool's lease")]
    #[from(ignore)]
    NotHolder,
    #[display("the pool has no endpoint {endpoint}")]
    #[from(ignore)]
    UnknownEndpoint {
        #[error(not(source))]
        endpoint: EndpointId,
    },
    #[display("engine did not answer the order in time")]
    #[from(ignore)]
    TimedOut,
    #[display("{_0}")]
    Engine(EngineError),
}
