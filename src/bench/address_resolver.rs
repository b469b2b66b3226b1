use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::http::HttpClient;

const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Resolves the addresses of the instances as a caller does: queries `/v1/addresses` of any of them
/// and caches the answer for the time that it states.
#[derive(Clone)]
pub struct AddressResolver {
    seeds: Rc<Vec<SmolStr>>,
    cached: Rc<RefCell<CachedAnswer>>,
}

#[derive(Default)]
struct CachedAnswer {
    answer: Answer,
    expires_at: Option<Instant>,
}

#[derive(Clone, Default, Deserialize)]
struct Answer {
    addresses: Vec<WeightedAddress>,
    keep_ms: u64,
}

#[derive(Clone, Deserialize)]
struct WeightedAddress {
    address: SmolStr,
    weight: u32,
}

impl AddressResolver {
    /// Creates a resolver that starts from the addresses in a caller's settings.
    pub fn new(seeds: Vec<SmolStr>) -> AddressResolver {
        AddressResolver { seeds: Rc::new(seeds), cached: Rc::default() }
    }

    /// Returns an address, selected by weight with a random number.
    pub async fn choose(&self, random: u32) -> SmolStr {
        if self.cached.borrow().expires_at.is_none_or(|expires_at| expires_at <= Instant::now()) {
            self.refresh(random as usize).await;
        }
        let cached = self.cached.borrow();
        let total: u64 = cached.answer.addresses.iter().map(|a| u64::from(a.weight)).sum();
        if total == 0 {
            return self.seeds[random as usize % self.seeds.len()].clone();
        }
        let mut left = u64::from(random) % total;
        for weighted in &cached.answer.addresses {
            let weight = u64::from(weighted.weight);
            if left < weight {
                return weighted.address.clone();
            }
            left -= weight;
        }
        self.seeds[0].clone()
    }

    /// Queries the instances of the last answer, then the seeds, until one answers.
    async fn refresh(&self, first: usize) {
        let cached = self.cached.borrow().answer.addresses.clone();
        let mut asked: Vec<SmolStr> = cached.into_iter().map(|weighted| weighted.address).collect();
        let known = asked.len();
        if known > 0 {
            asked.rotate_left(first % known);
        }
        let mut seeds = self.seeds.to_vec();
        seeds.rotate_left(first % self.seeds.len());
        asked.append(&mut seeds);
        for seed in asked {
            let client = HttpClient::new(seed.clone());
            let asked = client.call::<_, Answer>(Method::GET, "/v1/addresses", &(), LOOKUP_TIMEOUT);
            if let Ok(answer) = asked.await {
                let expires_at = Instant::now() + Duration::from_millis(answer.keep_ms);
                *self.cached.borrow_mut() = CachedAnswer { answer, expires_at: Some(expires_at) };
                return;
            }
        }
    }
}
