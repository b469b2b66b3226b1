//! Knows how much every rank asks for over all instances. Answers a burst of less urgent requests
//! at instances that see few urgent ones themselves: with many instances each of them gets an urgent
//! request only every few seconds.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

use crate::admission::{ClassReport, DecayingRate, Rank, ServiceDemand, ServiceReport};
use crate::clock::Instant;
use crate::units::ServiceId;

/// Time for which the rates of a peer are used without a new report. Longer than a partition that
/// leaves the peer serving: its callers still compete for the same engines.
const REPORT_TTL_MS: u64 = 5_000;
/// The same for what waits at a peer, which is placed or refused within this time.
const WAITING_TTL_MS: u64 = 1_500;
/// Rates below this are not reported, so that the report of an idle service is empty.
const MIN_TOKENS_PER_S: f64 = 1.0;

/// Demand by service and rank: measured at this instance and reported by its peers.
#[derive(Clone, Debug, Default)]
pub struct DemandBoard {
    own: BTreeMap<(ServiceId, Rank), Rates>,
    peers: HashMap<IpAddr, PeerReport>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    offered: DecayingRate,
    admitted: DecayingRate,
    refused: DecayingRate,
}

#[derive(Clone, Debug)]
struct PeerReport {
    received_at: Instant,
    services: Vec<ServiceReport>,
}

impl DemandBoard {
    /// Records the arrival of a request that needs `tokens` of memory.
    pub fn record_offered(&mut self, service: &ServiceId, rank: Rank, tokens: u64, now: Instant) {
        self.rates(service, rank).offered.record(tokens, now);
    }

    pub fn record_admitted(&mut self, service: &ServiceId, rank: Rank, tokens: u64, now: Instant) {
        self.rates(service, rank).admitted.record(tokens, now);
    }

    pub fn record_refused(&mut self, service: &ServiceId, rank: Rank, tokens: u64, now: Instant) {
        self.rates(service, rank).refused.record(tokens, now);
    }

    fn rates(&mut self, service: &ServiceId, rank: Rank) -> &mut Rates {
        self.own.entry((service.clone(), rank)).or_default()
    }

    /// Demand at this instance for its peers. `waiting_tokens` returns what waits in its queue.
    pub fn reports(
        &self,
        now: Instant,
        waiting_tokens: impl Fn(&ServiceId, Rank) -> u64,
    ) -> Vec<ServiceReport> {
        let mut services: Vec<ServiceReport> = Vec::new();
        for ((service, rank), rates) in &self.own {
            if rates.offered.per_s(now) < MIN_TOKENS_PER_S {
                continue;
            }
            let class = rates.report(*rank, waiting_tokens(service, *rank), now);
            match services.last_mut() {
                Some(last) if last.service == *service => last.classes.push(class),
                _ => {
                    services.push(ServiceReport { service: service.clone(), classes: vec![class] })
                }
            }
        }
        services
    }

    /// Replaces what a peer last reported.
    pub fn set_peer_report(&mut self, peer: IpAddr, services: Vec<ServiceReport>, now: Instant) {
        if services.is_empty() {
            self.peers.remove(&peer);
        } else {
            self.peers.insert(peer, PeerReport { received_at: now, services });
        }
    }

    pub fn remove_peer(&mut self, peer: IpAddr) {
        self.peers.remove(&peer);
    }

    /// Demand for a service over all instances. What waits at this instance is not included: its
    /// queue orders that itself.
    pub fn service_demand(&self, service: &ServiceId, now: Instant) -> ServiceDemand {
        let mut demand = ServiceDemand::default();
        for ((of, rank), rates) in &self.own {
            if of == service {
                demand.add(&rates.report(*rank, 0, now));
            }
        }
        for report in self.peers.values() {
            let age_ms = now.ms_since(report.received_at);
            if age_ms > REPORT_TTL_MS {
                continue;
            }
            let services = report.services.iter().filter(|of| of.service == *service);
            for class in services.flat_map(|service| &service.classes) {
                let waiting_tokens = if age_ms > WAITING_TTL_MS { 0 } else { class.waiting_tokens };
                demand.add(&ClassReport { waiting_tokens, ..*class });
            }
        }
        demand
    }
}

impl Rates {
    fn report(&self, rank: Rank, waiting_tokens: u64, now: Instant) -> ClassReport {
        ClassReport {
            rank,
            waiting_tokens: u32::try_from(waiting_tokens).unwrap_or(u32::MAX),
            offered_tokens_per_s: self.offered.per_s(now) as u32,
            admitted_tokens_per_s: self.admitted.per_s(now) as u32,
            refused_tokens_per_s: self.refused.per_s(now) as u32,
        }
    }
}
