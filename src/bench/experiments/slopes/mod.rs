//! Experiments that measure how costs grow, to extrapolate the needs of larger fleets.

pub mod calls;
pub mod document;
pub mod idle;
pub mod requests;
mod sample;
