//! Tests of the stand-ins through the clients that the instances use.

mod engine;
mod engine_faults;
mod helpers;
mod plain;
mod platform;
mod program;
