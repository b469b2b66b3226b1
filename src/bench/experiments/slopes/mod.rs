//! Slopes from which the needs of larger fleets are worked out.

pub mod calls;
pub mod document;
pub mod idle;
pub mod requests;
mod sample;
