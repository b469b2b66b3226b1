use std::net::Ipv4Addr;

use crate::hash::stable_hash;

/// Fraction of the cold rate that is used. The rest covers instances whose views of the fleet
/// differ, and requests that arrive closer together than they were sent.
const USED_FRACTION: f64 = 0.8;
/// Window of the limit for rates of one request a second or more.
const WINDOW_MS: f64 = 1_000.0;

/// Requests that this instance may send to one cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdAllowance {
    /// Maximum number of requests in any span of `window_ms`; 0 if other instances have the turn.
    pub requests: usize,
    pub window_ms: u64,
}

/// Divides the request rate of cold endpoints between the instances of the fleet.
///
/// All instances are placed on a ring by the hash of their address. The turn for an endpoint goes
/// to as many instances that follow the endpoint's position as there are requests per second, so
/// that each of them gets whole requests at any size of the fleet. A difference of one instance
/// between two views changes the turn of one instance.
#[derive(Clone, Debug, Default)]
pub struct ColdTurns {
    own_position: u64,
    /// Addresses of the peers and their positions, by address.
    peers: Vec<(Ipv4Addr, u64)>,
    /// Sorted positions of all instances, this one included. Empty while the fleet is unknown.
    positions: Vec<u64>,
}

impl ColdTurns {
    /// Sets the instance `own` and its peers.
    pub fn set_fleet(&mut self, own: Ipv4Addr, peers: impl IntoIterator<Item = Ipv4Addr>) {
        let mut peers: Vec<Ipv4Addr> = peers.into_iter().collect();
        peers.sort_unstable();
        let is_unchanged = peers.iter().eq(self.peers.iter().map(|(address, _)| address));
        if is_unchanged && !self.positions.is_empty() {
            return;
        }
        let known = std::mem::take(&mut self.peers);
        self.peers = peers
            .into_iter()
            .map(|peer| match known.binary_search_by_key(&peer, |(address, _)| *address) {
                Ok(at) => known[at],
                Err(_) => (peer, position(peer)),
            })
            .collect();
        self.own_position = position(own);
        self.positions = self.peers.iter().map(|(_, position)| *position).collect();
        self.positions.push(self.own_position);
        self.positions.sort_unstable();
        self.positions.dedup();
    }

    /// Returns this instance's part of a cold endpoint's rate.
    pub fn allowance(&self, endpoint_key: u32, per_s: f64) -> ColdAllowance {
        let used_per_s = per_s * USED_FRACTION;
        let whole = used_per_s as usize;
        let holders = whole.clamp(1, self.positions.len().max(1));
        let Some(rank) = self.rank(endpoint_key).filter(|rank| *rank < holders) else {
            return ColdAllowance { requests: 0, window_ms: WINDOW_MS as u64 };
        };
        if whole == 0 {
            let window_ms = (WINDOW_MS / used_per_s.max(f64::MIN_POSITIVE)) as u64;
            return ColdAllowance { requests: 1, window_ms };
        }
        let has_remainder = rank < whole % holders;
        let requests = whole / holders + usize::from(has_remainder);
        ColdAllowance { requests, window_ms: WINDOW_MS as u64 }
    }

    /// Returns this instance's part of `requests` that all instances together may have at an endpoint.
    pub fn part(&self, endpoint_key: u32, requests: u32) -> u32 {
        let Some(rank) = self.rank(endpoint_key) else { return 1 };
        let count = self.positions.len() as u32;
        requests / count + u32::from((rank as u32) < requests % count)
    }

    /// Number of instances between an endpoint's position on the ring and this instance; `None` if
    /// the fleet is unknown.
    fn rank(&self, endpoint_key: u32) -> Option<usize> {
        let count = self.positions.len();
        let own = self.positions.binary_search(&self.own_position).ok()?;
        let start = u64::from(endpoint_key) << 32;
        let first = self.positions.partition_point(|position| *position < start) % count;
        Some((own + count - first) % count)
    }
}

fn position(address: Ipv4Addr) -> u64 {
    stable_hash(&address.to_string())
}
