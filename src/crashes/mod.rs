//! Requests under which endpoints end, and parts of prompts. Prompts share parts, so that a request can end an
//! endpoint because of a part that it has in common with others, while no two of them are alike.
//! All instances add up what each of them has seen.

mod crash_reports;
mod crashing_parts;
mod end_record;
mod end_table;
mod endpoint_end;
mod part_key;
mod part_report;
mod request_report;

pub use crash_reports::CrashReports;
pub use crashing_parts::CrashingParts;
pub use end_record::EndRecord;
pub use end_table::{EndTable, EndTableLimits};
pub use endpoint_end::EndpointEnd;
pub use part_key::PartKey;
pub use part_report::{EndReport, PartReport};
pub use request_report::RequestReport;
