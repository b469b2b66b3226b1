use std::net::IpAddr;

use smol_str::SmolStr;

/// Where a report of loads comes from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LoadSource {
    /// One instance, for its own requests.
    Peer(IpAddr),
    /// An instance of another availability zone, for all requests of that zone.
    Zone(SmolStr),
}
