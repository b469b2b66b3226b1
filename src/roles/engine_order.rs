use smol_str::SmolStr;

use crate::catalog::EndpointRole;
use crate::roles::FencingToken;

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    pub role: EndpointRole,
    /// An order is being carried out.
    pub is_changing: bool,
    /// Orders that the engine has accepted since its start.
    pub accepted_orders: u64,
}

/// An order to serve another stage of generations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    pub role: EndpointRole,
    pub owner: SmolStr,
    pub token: FencingToken,
    /// The engine rejects the order if it has accepted another number of orders, as when this one
    /// arrives late.
    pub accepted_orders: u64,
}

/// What an engine answers to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    Accepted,
    /// Another order came first.
    Superseded,
    /// The engine has seen a higher fencing token.
    Fenced,
    Rejected,
}
