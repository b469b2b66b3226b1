//! The stand-ins through the real clients.

mod engine;
mod engine_faults;
mod helpers;
mod plain;
mod platform;
mod program;
