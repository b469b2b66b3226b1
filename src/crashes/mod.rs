//! Parts of prompts under which endpoints end. Prompts share parts, so that a request can end an
//! endpoint because of a part that it has in common with others, while no two of them are alike.
//! All instances add up what each of them has seen.

mod crashing_parts;
mod endpoint_end;
mod part_key;
mod part_record;
mod part_report;

pub use crashing_parts::CrashingParts;
pub use endpoint_end::EndpointEnd;
pub use part_key::PartKey;
pub use part_record::PartRecord;
pub use part_report::{EndReport, PartReport};
