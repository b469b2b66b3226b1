//! Load generation and experiments: starts a fleet of processes on loopback, sends requests and
//! checks the callers' records and the statistics of the stand-ins.

mod address_resolver;
mod baseline;
mod bench_error;
mod call_record;
mod caller;
mod charged_gateways;
mod command;
mod deployment;
mod fleet;
mod fleet_builder;
mod fleet_document;
mod load;
mod occupancy;
mod options;
mod path;
mod process;
mod process_usage;
mod programs;
mod starter;

pub mod check;
pub mod demo;
pub mod experiments;
pub mod plot;
pub mod relay;
pub mod report;
pub mod retry;
pub mod timeline;

pub use address_resolver::AddressResolver;
pub use baseline::RoundRobin;
pub use bench_error::BenchError;
pub use call_record::{CallRecord, Ending};
pub use caller::{Caller, Prompt};
pub use command::run_bench;
pub use deployment::Deployment;
pub use fleet::Fleet;
pub use fleet_builder::FleetBuilder;
pub use fleet_document::{FleetDocument, PlacedEndpoint, key_of};
pub use load::{Gateways, Stream, Target, generate_prompt, send_load, send_load_to};
pub use occupancy::{count_prefills, sample_occupancy};
pub use options::Options;
pub use path::{Node, Path};
pub use process::Process;
pub use process_usage::ProcessUsage;
pub use programs::Programs;
pub use report::Report;
