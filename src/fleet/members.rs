use std::collections::HashMap;
use std::net::Ipv4Addr;

use rand::seq::IndexedRandom;

use crate::clock::Instant;
use crate::fleet::{Member, ReportReceivers, Status};
use crate::hash::stable_hash;

/// Lower bound of the failure timeout, after which a silent instance counts as lost. Tolerates
/// five lost datagrams in a small fleet.
const MIN_FAILURE_TIMEOUT_MS: u64 = 1_000;
/// Failure timeout in intervals between datagrams, which applies if it is longer.
const FAILURE_TIMEOUT_INTERVALS: u64 = 5;
/// Time for which a silent instance's share of each rate stays reserved, since the instance may
/// still be serving requests.
const RATE_RESERVATION_MS: u64 = 12_000;
/// Time after which a silent instance is removed and no longer sent datagrams.
const MEMBER_REMOVAL_MS: u64 = 60_000;
/// Lower bound of the interval between datagrams, and the interval's increase per known instance.
/// Sending and receiving take about 40 us each, so these keep the exchange below 1% of a core.
const MIN_INTERVAL_MS: u64 = 150;
const INTERVAL_PER_MEMBER_MS: u64 = 12;
/// Instances of a zone that collect the loads of all others and report their sum.
const COLLECTORS_PER_ZONE: usize = 6;
/// Time after an instance counts as settled in which its peers send it their loads and it reports
/// nothing yet.
const COLLECTING_MS: u64 = 500;
/// Number of instances that read the store in a large fleet; the others pull their replicas from
/// peers. Large enough that a store which rejects a third of the fleet does not reject all readers.
const READER_COUNT: usize = 8;
/// Number of instances that are prepared to assign roles to endpoints.
const COORDINATOR_CANDIDATES: usize = 4;
/// Largest fleet in which every instance reads the store.
const MAX_FLEET_ALL_READ: usize = 12;
/// Largest fleet in which every instance tells all others its loads.
const MAX_UNDIVIDED_FLEET: usize = 24;
/// Number of intervals between datagrams after which a new instance has heard of all its peers.
const SETTLING_INTERVALS: u64 = 2;
/// Maximum number of peer addresses in a status.
const MAX_KNOWN_IN_STATUS: usize = 12;

/// What a received status changed in the view of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerUpdate {
    /// The sender was not live before: it was unknown or had been lost.
    pub is_new: bool,
    /// The sender's current run began after this instance started.
    pub is_new_run: bool,
}

/// This instance's view of the fleet's membership, built from the statuses of its peers.
#[derive(Debug)]
pub struct Members {
    own_address: Ipv4Addr,
    own_rank: u64,
    started_at: Instant,
    members: HashMap<Ipv4Addr, Member>,
}

impl Members {
    pub fn new(own_address: Ipv4Addr, started_at: Instant) -> Members {
        let own_rank = instance_rank(own_address);
        Members { own_address, own_rank, started_at, members: HashMap::new() }
    }

    pub fn own_address(&self) -> Ipv4Addr {
        self.own_address
    }

    /// Adds the address of a possible instance. It is sent datagrams but is not live until a
    /// status from it arrives.
    pub fn add(&mut self, address: Ipv4Addr) {
        if address != self.own_address {
            self.entry(address);
        }
    }

    fn entry(&mut self, address: Ipv4Addr) -> &mut Member {
        let member = self.members.entry(address);
        member.or_insert_with(|| Member { rank: instance_rank(address), ..Member::default() })
    }

    /// Records a status; `None` if it is this instance's own or not newer than the recorded one.
    pub fn receive(&mut self, from: Ipv4Addr, status: &Status, now: Instant) -> Option<PeerUpdate> {
        if from == self.own_address {
            return None;
        }
        for address in &status.known {
            self.add(*address);
        }
        let own_age_ms = now.ms_since(self.started_at);
        let member = self.entry(from);
        let is_different_run = member.run != status.run;
        if !is_different_run && status.sequence <= member.sequence {
            return None;
        }
        let is_new = !member.is_live;
        let is_new_run = is_different_run && status.age_ms < own_age_ms;
        let started_ms = now.as_ms().saturating_sub(status.age_ms);
        *member = Member {
            rank: member.rank,
            run: status.run,
            started_at: Instant::from_ms(started_ms),
            sequence: status.sequence,
            zone: status.zone.clone(),
            is_ready: status.is_ready,
            is_leaving: status.is_leaving,
            last_received_at: Some(now),
            last_heard_at: Some(now),
            is_live: true,
            is_store_steady: status.is_store_steady,
            versions: status.versions,
        };
        Some(PeerUpdate { is_new, is_new_run })
    }

    /// Marks instances that have been silent for the failure timeout as not live and returns them.
    /// Removes those that have been silent for much longer.
    pub fn expire(&mut self, now: Instant) -> Vec<Ipv4Addr> {
        let limit_ms = MIN_FAILURE_TIMEOUT_MS.max(FAILURE_TIMEOUT_INTERVALS * self.interval_ms());
        let mut lost = Vec::new();
        for (address, member) in &mut self.members {
            let Some(last_received_at) = member.last_received_at else { continue };
            if member.is_live && now.ms_since(last_received_at) > limit_ms {
                member.is_live = false;
                member.is_ready = false;
                lost.push(*address);
            }
        }
        self.members.retain(|_, member| {
            member
                .last_received_at
                .is_none_or(|last_received_at| now.ms_since(last_received_at) < MEMBER_REMOVAL_MS)
        });
        lost
    }

    /// Marks a live instance as lost. Returns false if it was not live.
    pub fn mark_lost(&mut self, address: Ipv4Addr) -> bool {
        match self.members.get_mut(&address) {
            Some(member) if member.is_live => {
                member.is_live = false;
                true
            }
            _ => false,
        }
    }

    /// Marks an instance as live again that had been declared lost.
    pub fn revive(&mut self, address: Ipv4Addr) {
        if let Some(member) = self.members.get_mut(&address) {
            member.is_live = true;
        }
    }

    /// Records that a datagram other than a status has arrived from an instance.
    pub fn record_heard(&mut self, address: Ipv4Addr, now: Instant) {
        if let Some(member) = self.members.get_mut(&address) {
            member.last_heard_at = Some(now);
        }
    }

    pub fn is_live(&self, address: Ipv4Addr) -> bool {
        self.live_run(address).is_some()
    }

    /// The process run of an instance; `None` if it has not been heard of.
    pub fn run(&self, address: Ipv4Addr) -> Option<u64> {
        Some(self.members.get(&address)?.run)
    }

    /// The process run of an instance; `None` if it is not live.
    pub fn live_run(&self, address: Ipv4Addr) -> Option<u64> {
        let member = self.members.get(&address).filter(|member| member.is_live)?;
        Some(member.run)
    }

    /// Whether a datagram of an instance has arrived within the last `span_ms`.
    pub fn was_heard_within(&self, address: Ipv4Addr, span_ms: u64, now: Instant) -> bool {
        let member = self.members.get(&address);
        let heard_at = member.and_then(|member| member.last_received_at.max(member.last_heard_at));
        heard_at.is_some_and(|at| now.ms_since(at) < span_ms)
    }

    /// A random sample of live peers.
    pub fn random_live(&self, count: usize) -> Vec<Ipv4Addr> {
        let live: Vec<Ipv4Addr> = self.live().map(|(address, _)| *address).collect();
        live.choose_multiple(&mut rand::rng(), count).copied().collect()
    }

    /// Whether the instances send their loads only to the collectors of their zone, which report sums.
    pub fn is_divided_by_zone(&self) -> bool {
        self.live_count() > MAX_UNDIVIDED_FLEET
    }

    /// Live peers of a zone.
    pub fn live_in_zone(&self, zone: &str) -> impl Iterator<Item = Ipv4Addr> {
        let peers = self.live().filter(move |(_, member)| member.zone == zone);
        peers.map(|(address, _)| *address)
    }

    /// Instances of this one's zone, perhaps with this one, that collect the loads of the others.
    /// Those that started much later than the others do not know all of them yet and are left out.
    pub fn collectors(&self, own_zone: &str, now: Instant) -> Vec<Ipv4Addr> {
        let peers = self.live().filter(|(_, member)| member.zone == own_zone);
        let peers = peers.map(|(address, member)| (member.rank, *address, member.started_at));
        let mut known: Vec<(u64, Ipv4Addr, Instant)> = peers.collect();
        known.push((self.own_rank, self.own_address, self.started_at));
        let oldest_ms = known.iter().map(|(.., started_at)| now.ms_since(*started_at)).max();
        let required_ms = self.settling_ms().min(oldest_ms.unwrap_or_default() / 2);
        known.retain(|(.., started_at)| now.ms_since(*started_at) >= required_ms);
        known.sort_unstable();
        known.truncate(COLLECTORS_PER_ZONE);
        known.into_iter().map(|(_, address, _)| address).collect()
    }

    /// Whether this instance collects the loads of its zone.
    pub fn is_collector(&self, own_zone: &str, now: Instant) -> bool {
        self.collectors(own_zone, now).contains(&self.own_address)
    }

    /// Instances to which this one reports the loads of its zone: those of other zones, and those of
    /// this zone that do not collect them. The collectors of a zone share them evenly.
    pub fn report_receivers(&self, own_zone: &str, now: Instant) -> ReportReceivers {
        let mut receivers = ReportReceivers::default();
        let collectors = self.collectors(own_zone, now);
        let has_collected = now.ms_since(self.started_at) >= self.settling_ms() + COLLECTING_MS;
        let own = collectors.iter().position(|collector| *collector == self.own_address);
        let Some(own) = own.filter(|_| has_collected) else { return receivers };
        for (address, member) in self.live().filter(|(address, _)| !collectors.contains(address)) {
            if member.rank % collectors.len() as u64 != own as u64 {
                continue;
            }
            let is_inside = member.zone == own_zone;
            let list = if is_inside { &mut receivers.inside } else { &mut receivers.outside };
            list.push(*address);
        }
        receivers
    }

    /// Interval between two statuses to the same instance. Grows with the fleet.
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

    /// Number of instances that may serve requests, this one included: live ones, and silent ones
    /// that may only be partitioned from this instance.
    pub fn serving_count(&self, now: Instant) -> usize {
        1 + self.live().count() + self.silent_count(now)
    }

    /// Addresses of the instances that `serving_count` counts, except this one.
    pub fn serving_peers(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let live = self.live().map(|(address, _)| *address);
        live.chain(self.silent(now).map(|(address, _)| *address))
    }

    /// Number of instances that have been heard of and have not announced that they leave, this
    /// one included.
    pub fn known_count(&self) -> usize {
        let known = self.members.values().filter(|member| {
            member.is_live || (member.last_received_at.is_some() && !member.is_leaving)
        });
        1 + known.count()
    }

    /// Position of this instance among all known ones by address, and their number.
    pub fn own_position(&self) -> (usize, usize) {
        let before = self.members.keys().filter(|address| **address < self.own_address);
        (before.count(), 1 + self.members.len())
    }

    /// Whether this instance has run for long enough to have heard of all its peers.
    pub fn is_settled(&self, now: Instant) -> bool {
        now.ms_since(self.started_at) >= self.settling_ms()
    }

    fn settling_ms(&self) -> u64 {
        MIN_FAILURE_TIMEOUT_MS + SETTLING_INTERVALS * self.interval_ms()
    }

    fn silent_count(&self, now: Instant) -> usize {
        self.silent(now).count()
    }

    /// Silent instances that may still be serving on the other side of a network partition. While
    /// no peer is live, their number does not fall with time, since it is then more likely that
    /// this instance is the isolated one.
    fn silent(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Member)> {
        let has_live_peer = self.live().next().is_some();
        self.members.iter().filter(move |(_, member)| {
            let Some(last_received_at) = member.last_received_at else { return false };
            let is_reserved =
                !has_live_peer || now.ms_since(last_received_at) < RATE_RESERVATION_MS;
            !member.is_live && !member.is_leaving && is_reserved
        })
    }

    /// Fraction of each rate that is available to this instance and its live peers. The rest is
    /// reserved for silent instances that may still be serving.
    pub fn rate_share(&self, now: Instant) -> f64 {
        let serving = self.serving_count(now) as f64;
        1.0 - self.silent_count(now) as f64 / serving
    }

    /// Live peers whose replica of a topic is newer than `version`.
    pub fn peers_ahead_of(
        &self,
        topic_index: usize,
        version: u64,
    ) -> impl Iterator<Item = (&Ipv4Addr, &Member)> {
        self.live().filter(move |(_, member)| member.versions[topic_index] > version)
    }

    /// Whether this instance reads the store itself. In a large fleet only the lowest-ranked
    /// instances whose reads succeed do, and every instance whose own reads fail keeps trying.
    /// `is_steady` tells whether this instance's reads succeed.
    pub fn is_reader(&self, is_steady: bool) -> bool {
        self.live_count() <= MAX_FLEET_ALL_READ
            || !is_steady
            || self.steady_lower_ranked_count() < READER_COUNT
    }

    /// Whether this instance assigns roles to endpoints: the lowest-ranked one whose reads of the
    /// store succeed. Views may differ briefly, so that several instances consider themselves the
    /// coordinator.
    pub fn is_coordinator(&self, is_steady: bool) -> bool {
        is_steady && self.steady_lower_ranked_count() == 0
    }

    /// Whether this instance may soon have to assign roles, and observes the endpoints for that.
    pub fn is_coordinator_candidate(&self) -> bool {
        self.steady_lower_ranked_count() < COORDINATOR_CANDIDATES
    }

    /// Number of live peers that rank below this instance and whose reads of the store succeed.
    fn steady_lower_ranked_count(&self) -> usize {
        let before = self.live().filter(|(_, member)| {
            member.is_store_steady && !member.is_leaving && member.rank < self.own_rank
        });
        before.count()
    }

    /// Number of live peers whose reads of the store fail.
    pub fn unsteady_count(&self) -> usize {
        self.live().filter(|(_, member)| !member.is_store_steady).count()
    }

    /// A random sample of live peers, from which receivers of a status learn about them.
    pub fn sample_live(&self) -> Vec<Ipv4Addr> {
        self.random_live(MAX_KNOWN_IN_STATUS)
    }
}

/// Rank by which instances take on fleet-wide work; the lowest comes first. Hashing the address
/// spreads the work over machines and zones.
fn instance_rank(address: Ipv4Addr) -> u64 {
    stable_hash(&address.to_string())
}
