use std::collections::{HashMap, VecDeque};

use crate::clock::Instant;
use crate::units::{EndpointId, OrganisationId};

/// Prompt prefixes that each prefill endpoint is expected to have cached, for each organisation.
/// The index is only a hint, because cache events from engines are delayed and can be lost.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    organisations: HashMap<OrganisationId, Prefixes>,
    len: usize,
}

/// Prefixes of one organisation.
#[derive(Debug, Default)]
struct Prefixes {
    endpoints_by_hash: HashMap<u64, Vec<(EndpointId, Instant)>>,
    /// Hashes in insertion order. May contain hashes that were removed.
    insertion_order: VecDeque<u64>,
}

impl PrefixIndex {
    /// At about 200 bytes each, the index takes 6 MB of the 32 MB available for control state.
    const MAX_PREFIXES: usize = 32_768;
    /// Maximum age of an entry, because the event that removed it may have been lost.
    const LIFETIME_MS: u64 = 120_000;
    /// Maximum number of endpoints for each prefix.
    const MAX_ENDPOINTS: usize = 8;

    pub fn store(
        &mut self,
        organisation: &OrganisationId,
        hash: u64,
        endpoint: &EndpointId,
        now: Instant,
    ) {
        let prefixes = self.organisations.entry(organisation.clone()).or_default();
        let endpoints = prefixes.endpoints_by_hash.entry(hash).or_insert_with(|| {
            self.len += 1;
            prefixes.insertion_order.push_back(hash);
            Vec::new()
        });
        endpoints.retain(|(known, _)| known != endpoint);
        if endpoints.len() >= PrefixIndex::MAX_ENDPOINTS {
            endpoints.remove(0);
        }
        endpoints.push((endpoint.clone(), now));
        if self.len > PrefixIndex::MAX_PREFIXES {
            self.evict();
        }
    }

    pub fn remove(&mut self, organisation: &OrganisationId, hash: u64, endpoint: &EndpointId) {
        if let Some(prefixes) = self.organisations.get_mut(organisation)
            && let Some(endpoints) = prefixes.endpoints_by_hash.get_mut(&hash)
        {
            endpoints.retain(|(known, _)| known != endpoint);
        }
    }

    /// Returns the number of leading prefixes that the endpoint is expected to have cached.
    pub fn hits(
        &self,
        organisation: &OrganisationId,
        hashes: &[u64],
        endpoint: &EndpointId,
        now: Instant,
    ) -> usize {
        let Some(prefixes) = self.organisations.get(organisation) else {
            return 0;
        };
        let is_cached = |hash: &u64| {
            prefixes.endpoints_by_hash.get(hash).is_some_and(|endpoints| {
                endpoints.iter().any(|(known, at)| {
                    known == endpoint && now.ms_since(*at) < PrefixIndex::LIFETIME_MS
                })
            })
        };
        hashes.iter().rposition(is_cached).map_or(0, |at| at + 1)
    }

    /// Removes all entries of an endpoint, whose process has restarted.
    pub fn forget_endpoint(&mut self, endpoint: &EndpointId) {
        for prefixes in self.organisations.values_mut() {
            for endpoints in prefixes.endpoints_by_hash.values_mut() {
                endpoints.retain(|(known, _)| known != endpoint);
            }
        }
    }

    /// Evicts the oldest sixteenth of the organisation with the most prefixes, so that no
    /// organisation displaces the others.
    fn evict(&mut self) {
        let largest = self.organisations.iter_mut().max_by_key(|(_, p)| p.endpoints_by_hash.len());
        let Some((_, prefixes)) = largest else {
            return;
        };
        for _ in 0..prefixes.endpoints_by_hash.len() / 16 + 1 {
            if let Some(hash) = prefixes.insertion_order.pop_front()
                && prefixes.endpoints_by_hash.remove(&hash).is_some()
            {
                self.len -= 1;
            }
        }
        self.organisations.retain(|_, prefixes| !prefixes.endpoints_by_hash.is_empty());
    }
}
