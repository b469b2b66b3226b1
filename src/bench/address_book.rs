use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::http::HttpClient;

const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Which instances a caller uses: asks any of them, and keeps the answer for as long as it says.
#[derive(Clone)]
pub struct AddressBook {
    seeds: Rc<Vec<SmolStr>>,
    kept: Rc<RefCell<Kept>>,
}

#[derive(Default)]
struct Kept {
    answer: Answer,
    until: Option<Instant>,
}

#[derive(Clone, Default, Deserialize)]
struct Answer {
    addresses: Vec<Weighted>,
    keep_ms: u64,
}

#[derive(Clone, Deserialize)]
struct Weighted {
    address: SmolStr,
    weight: u32,
}

impl AddressBook {
    /// `seeds` are the addresses that a caller's settings name.
    pub fn new(seeds: Vec<SmolStr>) -> AddressBook {
        AddressBook { seeds: Rc::new(seeds), kept: Rc::default() }
    }

    /// An address, chosen by weight with a random number.
    pub async fn choose(&self, random: u32) -> SmolStr {
        if self.kept.borrow().until.is_none_or(|until| until <= Instant::now()) {
            self.ask(random as usize).await;
        }
        let kept = self.kept.borrow();
        let total: u64 = kept.answer.addresses.iter().map(|a| u64::from(a.weight)).sum();
        if total == 0 {
            return self.seeds[random as usize % self.seeds.len()].clone();
        }
        let mut left = u64::from(random) % total;
        for weighted in &kept.answer.addresses {
            let weight = u64::from(weighted.weight);
            if left < weight {
                return weighted.address.clone();
            }
            left -= weight;
        }
        self.seeds[0].clone()
    }

    /// Asks the instances of the last answer and the seeds in turn until one answers.
    async fn ask(&self, first: usize) {
        let kept = self.kept.borrow().answer.addresses.clone();
        let mut asked: Vec<SmolStr> = kept.into_iter().map(|weighted| weighted.address).collect();
        let known = asked.len();
        if known > 0 {
            asked.rotate_left(first % known);
        }
        let mut seeds = self.seeds.to_vec();
        seeds.rotate_left(first % self.seeds.len());
        asked.append(&mut seeds);
        for seed in asked {
            let client = HttpClient::new(seed.clone());
            let asked = client.call::<_, Answer>(Method::GET, "/v1/addresses", &(), ASK_TIMEOUT);
            if let Ok(answer) = asked.await {
                let until = Instant::now() + Duration::from_millis(answer.keep_ms);
                *self.kept.borrow_mut() = Kept { answer, until: Some(until) };
                return;
            }
        }
    }
}
