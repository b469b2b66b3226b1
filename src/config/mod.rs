//! The configuration document: contents, checks, edits, versions, keys, propagation.

mod change;
mod confirmation;
mod model;

pub use change::Change;
pub use confirmation::Confirmation;
pub use model::{
    Document, Endpoint, EngineEndpoint, Key, Model, Organisation, PlainEndpoint, Rate, Repeat,
    Role, Route, ServiceState, Target, Team, Zone,
};
