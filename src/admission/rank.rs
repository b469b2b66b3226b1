use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Lowest priority that engines distinguish.
const LOWEST: u8 = 9;

/// Priority of a request among those that compete for the same room; 0 is the most urgent.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Rank(u8);

impl Rank {
    /// The priority of an organisation takes precedence over that of the route.
    pub fn new(route_priority: u8, organisation_priority: Option<u8>) -> Rank {
        Rank(organisation_priority.unwrap_or(route_priority).min(LOWEST))
    }

    pub fn get(self) -> u8 {
        self.0
    }
}
