//! Token rates and bursts of organisations, across all instances.

mod draw;

pub use draw::{DrawAnswer, DrawRequest, Grant, Refund};
