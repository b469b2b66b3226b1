use std::collections::HashMap;
use std::net::Ipv4Addr;

use rand::seq::IndexedRandom;

use crate::clock::Instant;
use crate::fleet::{Member, Status};
use crate::hash::stable_hash;

/// Shortest time after which a silent instance counts as gone. Covers five lost datagrams of a
/// small fleet.
const MIN_SILENCE_MS: u64 = 1_000;
/// The same in intervals between datagrams.
const SILENCE_INTERVALS: u64 = 5;
/// Time for which a silent instance may still be spending its share of a rate.
const MAY_SPEND_MS: u64 = 12_000;
/// Time after which a silent instance is no longer written to.
const FORGET_MS: u64 = 60_000;
/// Shortest interval between datagrams, and what each known instance adds. Sending and reading
/// cost some 40 us each, so the two keep the exchange below 1% of a core.
const MIN_INTERVAL_MS: u64 = 150;
const INTERVAL_PER_MEMBER_MS: u64 = 12;
/// Number of instances that read the store in a large fleet. The others take over what these have
/// read. Large enough that a store which turns a third of the fleet away does not meet all.
const READERS: usize = 8;
/// Fleets up to this size read with every instance.
const MAX_ALL_READ: usize = 12;
/// Addresses of other instances in a datagram.
const KNOWN_IN_STATUS: usize = 12;

/// What a datagram changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerUpdate {
    /// The sender was not known, or not heard lately.
    pub is_new: bool,
    /// The sender's run began while this instance ran.
    pub is_new_run: bool,
}

/// This instance's view of the fleet.
#[derive(Debug)]
pub struct Members {
    own: Ipv4Addr,
    started_at: Instant,
    members: HashMap<Ipv4Addr, Member>,
}

impl Members {
    pub fn new(own: Ipv4Addr, started_at: Instant) -> Members {
        Members { own, started_at, members: HashMap::new() }
    }

    /// Adds an address that may be an instance.
    pub fn add(&mut self, address: Ipv4Addr) {
        if address != self.own {
            self.members.entry(address).or_default();
        }
    }

    /// Takes over a datagram; `None` if it is older than what is known.
    pub fn receive(&mut self, from: Ipv4Addr, status: &Status, now: Instant) -> Option<PeerUpdate> {
        if from == self.own {
            return None;
        }
        for address in &status.known {
            self.add(*address);
        }
        let member = self.members.entry(from).or_default();
        let is_other_run = member.run != status.run;
        if !is_other_run && status.sequence <= member.sequence {
            return None;
        }
        let is_new = !member.is_live;
        let is_new_run = is_other_run && status.age_ms < now.ms_since(self.started_at);
        *member = Member {
            run: status.run,
            sequence: status.sequence,
            zone: status.zone.clone(),
            is_ready: status.is_ready,
            is_leaving: status.is_leaving,
            last_received_at: Some(now),
            is_live: true,
            is_store_steady: status.is_store_steady,
            versions: status.versions,
        };
        Some(PeerUpdate { is_new, is_new_run })
    }

    /// Marks silent instances as gone and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Ipv4Addr> {
        let limit_ms = MIN_SILENCE_MS.max(SILENCE_INTERVALS * self.interval_ms());
        let mut gone = Vec::new();
        for (address, member) in &mut self.members {
            let Some(last_received_at) = member.last_received_at else { continue };
            if member.is_live && now.ms_since(last_received_at) > limit_ms {
                member.is_live = false;
                member.is_ready = false;
                gone.push(*address);
            }
        }
        self.members.retain(|_, member| {
            member
                .last_received_at
                .is_none_or(|last_received_at| now.ms_since(last_received_at) < FORGET_MS)
        });
        gone
    }

    /// Time between two datagrams to the same instance.
    pub fn interval_ms(&self) -> u64 {
        MIN_INTERVAL_MS.max(INTERVAL_PER_MEMBER_MS * self.members.len() as u64)
    }

    pub fn addresses(&self) -> Vec<Ipv4Addr> {
        self.members.keys().copied().collect()
    }

    pub fn live(&self) -> impl Iterator<Item = (&Ipv4Addr, &Member)> {
        self.members.iter().filter(|(_, member)| member.is_live)
    }

    /// Number of live instances, this one included.
    pub fn live_count(&self) -> usize {
        1 + self.live().count()
    }

    /// Number of instances that may serve requests, this one included: those that are live, and
    /// silent ones that may only be cut off.
    pub fn serving_count(&self, now: Instant) -> usize {
        1 + self.live().count() + self.silent_count(now)
    }

    /// Silent instances that may be serving beyond a cut. When no other instance is heard, all
    /// stay counted, since it is then more likely this one that is cut off.
    fn silent_count(&self, now: Instant) -> usize {
        let hears_any = self.live().next().is_some();
        let silent = self.members.values().filter(|member| {
            let Some(last_received_at) = member.last_received_at else { return false };
            let may_spend = !hears_any || now.ms_since(last_received_at) < MAY_SPEND_MS;
            !member.is_live && !member.is_leaving && may_spend
        });
        silent.count()
    }

    /// Part of each rate that is not left to instances that cannot be heard.
    pub fn rate_share(&self, now: Instant) -> f64 {
        let serving = self.serving_count(now) as f64;
        1.0 - self.silent_count(now) as f64 / serving
    }

    /// The peer that is furthest ahead of `version`.
    pub fn peer_ahead_of(&self, topic_index: usize, version: u64) -> Option<Ipv4Addr> {
        let ahead = self.live().filter(|(_, member)| member.versions[topic_index] > version);
        ahead.max_by_key(|(_, member)| member.versions[topic_index]).map(|(address, _)| *address)
    }

    /// Whether this instance reads the store itself: in a large fleet, only the first ones by hash
    /// do whose own reads succeed. `is_steady`: whether this instance's reads do.
    pub fn is_reader(&self, is_steady: bool) -> bool {
        self.live_count() <= MAX_ALL_READ || !is_steady || self.steady_before() < READERS
    }

    /// Whether this instance gives orders to endpoints: the first one by hash whose reads of the
    /// store succeed. Several may think so for a moment.
    pub fn is_coordinator(&self, is_steady: bool) -> bool {
        is_steady && self.steady_before() == 0
    }

    /// Number of live instances before this one whose reads of the store succeed.
    fn steady_before(&self) -> usize {
        let own = instance_rank(self.own);
        let before = self.live().filter(|(address, member)| {
            member.is_store_steady && !member.is_leaving && instance_rank(**address) < own
        });
        before.count()
    }

    /// Some live instances, for others to learn of.
    pub fn sample_live(&self) -> Vec<Ipv4Addr> {
        let live: Vec<Ipv4Addr> = self.live().map(|(address, _)| *address).collect();
        live.choose_multiple(&mut rand::rng(), KNOWN_IN_STATUS).copied().collect()
    }
}

/// Order in which instances take over work of the fleet; spreads it over machines and zones.
fn instance_rank(address: Ipv4Addr) -> u64 {
    stable_hash(&address.to_string())
}
