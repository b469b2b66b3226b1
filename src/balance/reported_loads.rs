//! Loads of endpoints: those that this instance places and those that its peers report.

use std::collections::HashMap;
use std::net::IpAddr;

use smol_str::SmolStr;

use crate::balance::{AvoidReport, Balancer, Load, LoadSource, PeerLoad};
use crate::clock::Instant;
use crate::units::EndpointId;

/// Time after which the loads of another zone are dropped if no report arrives. Longer than it
/// takes to find that the instance which sent them is lost.
const ZONE_REPORT_TTL_MS: u64 = 2_000;

impl Balancer {
    /// Adds the load of a request that was sent to an endpoint.
    pub fn start_request(&mut self, id: &EndpointId, load: &Load, now: Instant) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.local_load.add(load);
            state.record_send(now);
        }
    }

    /// Adds load of a running request beyond what was reserved when it started.
    pub fn increase_load(&mut self, id: &EndpointId, more: &Load) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.local_load.add(more);
        }
    }

    /// Subtracts load of a request that has finished, fully or in part.
    pub fn release_load(&mut self, id: &EndpointId, load: &Load) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.local_load.subtract(load);
        }
    }

    /// Replaces the loads last reported by a peer.
    pub fn set_peer_loads(&mut self, peer: IpAddr, loads: Vec<PeerLoad>, now: Instant) {
        self.set_loads(LoadSource::Peer(peer), loads, now);
    }

    /// Replaces the loads last reported for all other instances of a zone.
    pub fn set_zone_loads(&mut self, zone: SmolStr, loads: Vec<PeerLoad>, now: Instant) {
        self.zone_reports.insert(zone.clone(), now);
        self.set_loads(LoadSource::Zone(zone), loads, now);
    }

    /// Whether the loads of a zone's instances are known from a report of the zone, so that
    /// those in their own statuses would be counted twice.
    pub fn is_zone_reported(&self, zone: &str) -> bool {
        self.zone_reports.contains_key(zone)
    }

    /// Drops the loads that instances have reported themselves, because their zone's report counts
    /// them.
    pub fn forget_peer_loads(&mut self, peers: impl IntoIterator<Item = IpAddr>, now: Instant) {
        for peer in peers {
            let source = LoadSource::Peer(peer);
            if self.reported.get(&source).is_some_and(|loads| !loads.is_empty()) {
                self.remove_loads(source, now);
            }
        }
    }

    /// Drops the loads of a zone's report.
    pub fn forget_zone_loads(&mut self, zone: SmolStr, now: Instant) {
        if self.zone_reports.remove(&zone).is_some() {
            self.remove_loads(LoadSource::Zone(zone), now);
        }
    }

    /// Drops the loads of zones of which no report has arrived lately.
    pub fn expire_zone_loads(&mut self, now: Instant) {
        let is_expired = |at: &Instant| now.ms_since(*at) >= ZONE_REPORT_TTL_MS;
        let expired = self.zone_reports.iter().filter(|(_, at)| is_expired(at));
        let expired: Vec<SmolStr> = expired.map(|(zone, _)| zone.clone()).collect();
        for zone in expired {
            self.forget_zone_loads(zone, now);
        }
    }

    /// Loads of all instances of this zone: those of this instance and the last reports of `peers`.
    pub fn zone_loads(
        &self,
        peers: impl IntoIterator<Item = IpAddr>,
        now: Instant,
    ) -> Vec<PeerLoad> {
        let mut by_key: HashMap<u32, PeerLoad> = HashMap::new();
        let own = self.local_loads(now);
        let of_peers = peers.into_iter().filter_map(|peer| {
            self.reported.get(&LoadSource::Peer(peer)).map(|loads| loads.iter().copied())
        });
        for report in own.into_iter().chain(of_peers.flatten()) {
            let empty =
                PeerLoad { load: Load::default(), avoidance: AvoidReport::default(), ..report };
            let sum = by_key.entry(report.endpoint_key).or_insert(empty);
            sum.load.add(&report.load);
            sum.avoidance = sum.avoidance.merge(report.avoidance);
        }
        by_key.into_values().collect()
    }

    fn set_loads(&mut self, source: LoadSource, loads: Vec<PeerLoad>, now: Instant) {
        let before = self.reported.insert(source, loads.clone()).unwrap_or_default();
        let mut by_key: HashMap<u32, (Load, Load, AvoidReport)> = HashMap::new();
        for report in before {
            by_key.entry(report.endpoint_key).or_default().0 = report.load;
        }
        for report in loads {
            let entry = by_key.entry(report.endpoint_key).or_default();
            entry.1 = report.load;
            entry.2 = report.avoidance;
        }
        for (key, (before, after, avoidance)) in by_key {
            let Some(state) = self.endpoint_by_key(key) else { continue };
            state.peer_load.subtract(&before);
            state.peer_load.add(&after);
            if avoidance.is_slow() {
                state.pace.record_slowness();
            }
            if avoidance.is_avoided() {
                state.pace.record_failure(now);
                state.health.record_peer_failure(avoidance, now);
            }
        }
    }

    /// Drops the loads of a peer that has left or failed.
    pub fn remove_peer(&mut self, peer: IpAddr, now: Instant) {
        self.remove_loads(LoadSource::Peer(peer), now);
    }

    fn remove_loads(&mut self, source: LoadSource, now: Instant) {
        self.set_loads(source.clone(), Vec::new(), now);
        self.reported.remove(&source);
    }

    /// Loads and avoided endpoints of this instance, as reported to peers.
    pub fn local_loads(&self, now: Instant) -> Vec<PeerLoad> {
        let reported = self.endpoints.values().filter_map(|state| {
            let avoidance = state.avoidance(now);
            let is_reported = !state.local_load.is_empty() || avoidance.is_avoided();
            is_reported.then_some(PeerLoad {
                endpoint_key: state.key,
                load: state.local_load,
                avoidance,
            })
        });
        reported.collect()
    }
}
