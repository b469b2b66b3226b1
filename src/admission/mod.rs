//! Admission under contention: who is served while callers compete for too little room. Decides by
//! the rank of a request and by the demand that instances measure and report to each other. Nothing
//! here uses the network, and nothing changes for services whose requests all have the same rank.

mod class_report;
mod decaying_rate;
mod demand_board;
mod fair_share;
mod fill_limit;
mod rank;
mod return_time;
mod service_demand;

pub use class_report::{ClassReport, ServiceReport};
pub use decaying_rate::DecayingRate;
pub use demand_board::DemandBoard;
pub use fair_share::{FairShare, ShareTag};
pub use fill_limit::{FillQuery, fill_limit};
pub use rank::Rank;
pub use return_time::return_delay_ms;
pub use service_demand::{ClassDemand, ServiceDemand};
