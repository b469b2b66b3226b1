use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// What is said of an instance. Of two rumours about the same run and refutation, the greater one
/// holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    Alive,
    /// The instance has not answered probes.
    Lost,
}

/// A statement about an instance that instances pass on to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    pub subject: Ipv4Addr,
    /// Process run of the subject. A rumour does not apply to another run.
    pub run: u64,
    /// Number of rumours about its run that the subject has refuted.
    pub refutation: u32,
    pub liveness: Liveness,
}
