use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::catalog::Customer;
use crate::clock::Instant;
use crate::hash::stable_hash;
use crate::quota::SharedBucket;
use crate::units::{OrganisationId, Tokens};

/// What an instance tells of an organisation's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    pub organisation_key: u32,
    pub tokens: u64,
}

/// The organisation's rate is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuota {
    /// Time until the request would fit, if nothing else is admitted.
    pub retry_after_ms: u64,
}

/// The buckets of all organisations with a limit.
#[derive(Debug)]
pub struct Quotas {
    buckets: HashMap<OrganisationId, (u32, SharedBucket)>,
    /// Part of a burst that a new bucket holds. An instance that starts while others run knows
    /// nothing of what they have spent, so it begins with none.
    first_level: f64,
    /// Part of each rate that is not left to instances that cannot be heard.
    share: f64,
}

impl Quotas {
    pub fn new(first_level: f64) -> Quotas {
        Quotas { buckets: HashMap::new(), first_level, share: 1.0 }
    }

    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Takes over the limits of a configuration.
    pub fn set_customers(&mut self, customers: &[Rc<Customer>], now: Instant) {
        let mut buckets = HashMap::new();
        for customer in customers {
            let Some(rate) = customer.rate else { continue };
            let entry = match self.buckets.remove(&customer.organisation) {
                Some((key, mut bucket)) => {
                    bucket.set_limits(rate, customer.burst, now, self.share);
                    (key, bucket)
                }
                None => {
                    let key = stable_hash(customer.organisation.as_str()) as u32;
                    (key, SharedBucket::new(rate, customer.burst, self.first_level, now))
                }
            };
            buckets.insert(customer.organisation.clone(), entry);
        }
        self.buckets = buckets;
    }

    pub fn take(
        &mut self,
        organisation: &OrganisationId,
        tokens: Tokens,
        now: Instant,
    ) -> Result<(), OverQuota> {
        let Some((_, bucket)) = self.buckets.get_mut(organisation) else { return Ok(()) };
        bucket
            .take(tokens, now, self.share)
            .map_err(|retry_after_ms| OverQuota { retry_after_ms })
    }

    /// Gives back the tokens of a request that certainly did not run.
    pub fn give_back(&mut self, organisation: &OrganisationId, tokens: Tokens) {
        if let Some((_, bucket)) = self.buckets.get_mut(organisation) {
            bucket.give_back(tokens);
        }
    }

    pub fn own_spent(&self) -> Vec<Spent> {
        let spent = self.buckets.values().filter(|(_, bucket)| bucket.own_spent() > 0);
        spent
            .map(|(key, bucket)| Spent { organisation_key: *key, tokens: bucket.own_spent() })
            .collect()
    }

    /// Takes over a peer's report. `is_new_run`: the peer's run began while this instance ran.
    pub fn note_peer(&mut self, peer: IpAddr, run: u64, spent: &[Spent], is_new_run: bool) {
        for (key, bucket) in self.buckets.values_mut() {
            if let Some(told) = spent.iter().find(|told| told.organisation_key == *key) {
                bucket.note_peer(peer, run, told.tokens, is_new_run);
                bucket.forget_other_runs(peer, run);
            } else if is_new_run {
                bucket.note_peer(peer, run, 0, true);
            }
        }
    }
}
