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

/// What a request is charged for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeBy {
    Requests,
    Tokens,
    /// Microseconds of an engine: the prefill of what is not cached, and the decode's part of the
    /// slots.
    EngineTime,
}

impl ChargeBy {
    /// Charge of a request with these sizes. Requests count 1,000 units, so that rates are whole.
    pub fn units(self, uncached: u64, prompt: u64, output: u64) -> u64 {
        let engine = EngineSettings::default();
        let decode_us = engine.token_time(engine.slots).as_micros() as u64;
        match self {
            ChargeBy::Requests => 1000,
            ChargeBy::Tokens => prompt + output,
            ChargeBy::EngineTime => {
                prefill_us(uncached) + output * decode_us / u64::from(engine.slots)
            }
        }
    }

    fn used(self, uncached: u64, record: &CallRecord) -> u64 {
        let prefilled = if record.output_tokens > 0 { uncached } else { 0 };
        match self {
            ChargeBy::Requests => u64::from(record.output_tokens > 0) * 1000,
            ChargeBy::Tokens => record.prompt_tokens + record.output_tokens,
            ChargeBy::EngineTime if prefilled == 0 => 0,
            ChargeBy::EngineTime => {
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

/// Gateways behind the product's token buckets, charged in a unit of choice. Each gateway has an
/// allowance of its own.
#[derive(Clone)]
pub struct Charged {
    gateways: Gateways,
    by: ChargeBy,
    allowances: Rc<RefCell<HashMap<SmolStr, GatewayAllowances>>>,
    budgets: Rc<Budgets<BootClock>>,
    rates: Rc<BTreeMap<OrganisationId, Rate>>,
    /// Prefix blocks that each organisation has sent.
    sent: Rc<RefCell<HashSet<u64>>>,
}

/// Draws from buckets in this process.
pub struct LocalDraws(Rc<Budgets<BootClock>>);

impl DrawClient for LocalDraws {
    async fn draw(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError> {
        tokio::time::sleep(Charged::ROUND_TRIP).await;
        Ok(self.0.draw(request, BootClock.now().plus_ms(3_000)))
    }
}

impl Charged {
    const ROUND_TRIP: Duration = Duration::from_millis(1);
    /// As long as the product waits for tokens.
    const WAIT_MS: u64 = 1_000;

    pub fn new(gateways: Gateways, by: ChargeBy, rates: BTreeMap<OrganisationId, Rate>) -> Charged {
        let budgets = Rc::new(Budgets::new(BootClock, 1));
        budgets.set_rates(&rates);
        budgets.add_shard(&ShardId::Budget(0), FencingToken(1), BootClock.now());
        Charged {
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

    /// Tokens of the prompt in blocks that the organisation has not sent before, as the engines'
    /// caches count them.
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

impl Target for Charged {
    async fn complete(&self, prompt: &Prompt, random: u32) -> CallRecord {
        let address = self.gateways.book.choose(random).await;
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

/// Charge of a request that nothing of is cached, by what it will use.
pub fn whole_units(by: ChargeBy, record: &CallRecord) -> f64 {
    let prompt = prompt_tokens(&record.prompt);
    by.units(prompt, prompt, expected_length(&record.prompt, record.max_tokens)) as f64
}
