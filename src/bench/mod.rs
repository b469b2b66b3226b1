//! Load generation and experiments: starts a fleet of processes on loopback, sends requests and
//! checks from outside what callers got and what the stand-ins saw.

mod address_book;
mod bench_error;
mod call_record;
mod caller;
mod deployment;
mod fleet;
mod fleet_document;
mod load;
mod options;
mod process;
mod programs;

pub mod check;
pub mod demo;
pub mod experiments;
pub mod report;
pub mod resend;

pub use address_book::AddressBook;
pub use bench_error::BenchError;
pub use call_record::{CallRecord, Ending};
pub use caller::{Caller, Prompt};
pub use deployment::Deployment;
pub use fleet::{Fleet, FleetBuilder};
pub use fleet_document::{FleetDocument, PlacedEndpoint, key_of};
pub use load::{Stream, draw_prompt, send_load};
pub use options::Options;
pub use process::Process;
pub use programs::Programs;
pub use report::Report;
