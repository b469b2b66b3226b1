//! Messages exchanged with an engine about its role.

use smol_str::SmolStr;

use crate::catalog::EndpointRole;
use crate::roles::FencingToken;

/// Role state as reported by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    pub role: EndpointRole,
    /// A role change is in progress.
    pub is_changing: bool,
    /// Number of orders that the engine has accepted since it started.
    pub accepted_orders: u64,
}

/// An order to an engine to change its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    pub role: EndpointRole,
    /// Holder of the order lease that sends the order.
    pub owner: SmolStr,
    pub token: FencingToken,
    /// Number of accepted orders that the sender expects. The engine rejects the order if its count
    /// differs, for example because the order arrived late.
    pub accepted_orders: u64,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    Accepted,
    /// Another order was accepted first.
    Superseded,
    /// The engine has seen a higher fencing token.
    Fenced,
    Rejected,
}
