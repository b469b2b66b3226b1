//! Load generation and experiments: starts a fleet of processes on loopback, sends requests and
//! checks from outside what callers got and what the stand-ins saw.

mod bench_error;
mod call_record;
mod caller;
mod deployment;
mod fleet;
mod fleet_document;
mod process;
mod programs;

pub mod demo;

pub use bench_error::BenchError;
pub use call_record::{CallRecord, Ending};
pub use caller::{Caller, Prompt};
pub use deployment::Deployment;
pub use fleet::{Fleet, FleetBuilder};
pub use fleet_document::{FleetDocument, PlacedEndpoint, key_of};
pub use process::Process;
pub use programs::Programs;
