use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::bench::load::Target;
use crate::bench::{CallRecord, Ending, Gateways, Prompt};
use crate::budget::{Allowances, Budgets, DrawAnswer, DrawClient, DrawError, DrawRequest};
use crate::clock::{BootClock, Clock};
use crate::config::Rate;
use crate::standin::{EngineSettings, expected_length, prefix_hashes, prompt_tokens};
use crate::units::{FencingToken, Incarnation, InstanceId, OrganisationId, ShardId, Tokens};

/// Unit in which a request is charged against a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeUnit {
    Requests,
    Tokens,
    /// Microseconds of engine time: the prefill of the tokens that are not cached, plus the decode
    /// time divided by the number of slots.
    EngineTime,
}

impl ChargeUnit {
    /// Returns the charge of a request with these sizes. A request counts as 1,000 units, so that
    /// rates are whole numbers.
    pub fn units(self, uncached: u64, prompt: u64, output: u64) -> u64 {
        let engine = EngineSettings::default();
        let decode_us = engine.token_time(engine.slots).as_micros() as u64;
        match self {
            ChargeUnit::Requests => 1000,
            ChargeUnit::Tokens => prompt + output,
            ChargeUnit::EngineTime => {
                prefill_us(uncached) + output * decode_us / u64::from(engine.slots)
            }
        }
    }

    fn used(self, uncached: u64, record: &CallRecord) -> u64 {
        let prefilled = if record.output_tokens > 0 { uncached } else { 0 };
        match self {
            ChargeUnit::Requests => u64::from(record.output_tokens > 0) * 1000,
            ChargeUnit::Tokens => record.prompt_tokens + record.output_tokens,
            ChargeUnit::EngineTime if prefilled == 0 => 0,
            ChargeUnit::EngineTime => {
                let slots = u64::from(EngineSettings::default().slots);
                prefill_us(prefilled) + record.decode_ms * 1000 / slots
            }
        }
    }
}

fn prefill_us(uncached: u64) -> u64 {
    EngineSettings::default().prefill_time(uncached, 0).as_micros() as u64
}

type GatewayAllowances = Rc<Allowances<BootClock, LocalDraws>>;

/// Gateways behind the product's token buckets, which run in this process and charge requests in
/// the given unit. Each gateway has its own allowance.
#[derive(Clone)]
pub struct ChargedGateways {
    gateways: Gateways,
    by: ChargeUnit,
    allowances: Rc<RefCell<HashMap<SmolStr, GatewayAllowances>>>,
    budgets: Rc<Budgets<BootClock>>,
    rates: Rc<BTreeMap<OrganisationId, Rate>>,
    /// Hashes of the prefix blocks that the organisations have sent.
    sent: Rc<RefCell<HashSet<u64>>>,
}

/// Draws tokens from the buckets in this process, with a simulated round trip.
pub struct LocalDraws(Rc<Budgets<BootClock>>);

impl DrawClient for LocalDraws {
    async fn draw(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError> {
        tokio::time::sleep(ChargedGateways::ROUND_TRIP).await;
        Ok(self.0.draw(request, BootClock.now().plus_ms(3_000)))
    }
}

impl ChargedGateways {
    const ROUND_TRIP: Duration = Duration::from_millis(1);
    /// The time that the product waits for tokens.
    const WAIT_MS: u64 = 1_000;

    pub fn new(
        gateways: Gateways,
        by: ChargeUnit,
        rates: BTreeMap<OrganisationId, Rate>,
    ) -> ChargedGateways {
        let budgets = Rc::new(Budgets::new(BootClock, 1));
        budgets.set_rates(&rates);
        budgets.add_shard(&ShardId::Budget(0), FencingToken(1), BootClock.now());
        ChargedGateways {
            gateways,
            by,
            allowances: Rc::default(),
            budgets,
            rates: Rc::new(rates),
            sent: Rc::default(),
        }
    }

    fn allowance(&self, address: &SmolStr) -> GatewayAllowances {
        let mut allowances = self.allowances.borrow_mut();
        let number = allowances.len() as u64;
        let new = || {
            let draws = LocalDraws(Rc::clone(&self.budgets));
            let instance = InstanceId::new(address.clone());
            let allowance = Allowances::new(BootClock, draws, instance, Incarnation(number + 1));
            allowance.set_rates(&self.rates);
            Rc::new(allowance)
        };
        Rc::clone(allowances.entry(address.clone()).or_insert_with(new))
    }

    /// Returns the number of prompt tokens in blocks that the organisation has not sent before,
    /// which is what the engines' prefix caches miss.
    fn uncached(&self, prompt: &Prompt) -> u64 {
        let block = EngineSettings::default().cache_block_tokens;
        let tokens = prompt_tokens(&prompt.text);
        let mut sent = self.sent.borrow_mut();
        let hashes = prefix_hashes(&prompt.organisation, &prompt.text, block);
        let cached = hashes.iter().take_while(|hash| sent.contains(*hash)).count() as u64 * block;
        sent.extend(hashes);
        tokens.saturating_sub(cached).max(1)
    }
}

impl Target for ChargedGateways {
    async fn complete(&self, prompt: &Prompt, random: u32) -> CallRecord {
        let address = self.gateways.resolver.choose(random).await;
        let sent_at_ms = self.gateways.caller.elapsed_ms();
        let uncached = self.uncached(prompt);
        let tokens = prompt_tokens(&prompt.text);
        let bound = Tokens(self.by.units(uncached, tokens, prompt.max_tokens));
        let organisation = OrganisationId::new(prompt.organisation.clone());
        let deadline = BootClock.now().plus_ms(Self::WAIT_MS);
        match self.allowance(&address).charge(&organisation, bound, deadline).await {
            Ok(charge) => {
                let mut record = self.gateways.caller.complete(&address, prompt).await;
                charge.settle(Tokens(self.by.used(uncached, &record)));
                let waited_ms = record.sent_at_ms - sent_at_ms;
                record.first_token_ms = record.first_token_ms.map(|ms| ms + waited_ms);
                CallRecord { sent_at_ms, ..record }
            }
            Err(_) => {
                let mut record = CallRecord::sent(prompt, address, sent_at_ms);
                let (code, outcome) = ("rate_exceeded".into(), "not_run".into());
                record.ending = Ending::Refused { status: 429, code, outcome };
                record.ended_at_ms = self.gateways.caller.elapsed_ms();
                record
            }
        }
    }
}

/// Returns the charge for what a request will use if none of its prompt is cached.
pub fn uncached_units(by: ChargeUnit, record: &CallRecord) -> f64 {
    let prompt = prompt_tokens(&record.prompt);
    by.units(prompt, prompt, expected_length(&record.prompt, record.max_tokens)) as f64
}
