//! Token rate limits of organisations across all instances, and claims on the ids of running
//! requests.
//!
//! The lease holder of a budget shard keeps the token buckets. Instances request tokens from it in
//! advance with draws and spend them locally. With several regions, the holder divides each budget
//! into parts, and a regional holder grants tokens from the part of its region.

mod allowance;
mod allowances;
mod bucket;
mod budget_error;
mod budgets;
mod charge;
mod demand;
mod draw;
mod draw_client;
mod headroom;
mod holder_time;
mod limits;
mod local_grants;
mod organisation_allowance;
mod outstanding_grants;
mod part;
mod part_ledger;
mod region_budgets;
mod region_part;
mod region_parts;
mod reported_claim;
mod request_claims;
mod shard;
mod share;
mod spend_report;
mod waiting_draws;

pub use allowances::Allowances;
pub use bucket::Bucket;
pub use budget_error::BudgetError;
pub use budgets::Budgets;
pub use charge::Charge;
pub use draw::{DrawAnswer, DrawRequest, Grant, Refund};
pub use draw_client::{DrawClient, DrawError};
pub use holder_time::HolderTime;
pub use limits::{
    GRANT_MARGIN_MS, GRANT_TTL_MS, PART_MARGIN_MS, PART_RENEW_MS, PART_TTL_MS, REGION_REMOVAL_MS,
};
pub use part::{GrantedParts, HeldPart, PartAnswer, PartRequest};
pub use part_ledger::PartLedger;
pub use region_budgets::RegionBudgets;
pub use region_parts::RegionParts;
pub use reported_claim::ReportedClaim;
pub use request_claims::{ClaimAnswer, RequestClaims};
pub use share::Share;
