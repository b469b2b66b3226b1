use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::draw::{DrawAnswer, DrawRequest};
use super::part::{GrantedParts, PartAnswer, PartRequest};
use super::part_ledger::PartLedger;
use super::region_parts::RegionParts;
use crate::clock::{Clock, Instant};
use crate::config::Rate;
use crate::units::{FencingToken, OrganisationId, RegionId, ShardId};

/// Both levels of budgets that are split between regions, at one instance: the ledgers of the
/// budget shards and the parts of the regional shards that it holds.
pub struct RegionBudgets<C: Clock> {
    clock: C,
    budget_shards: u32,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    regions: BTreeSet<RegionId>,
    rates: Rc<BTreeMap<OrganisationId, Rate>>,
    ledgers: BTreeMap<ShardId, (FencingToken, PartLedger)>,
    /// By budget shard.
    parts: BTreeMap<ShardId, RegionParts>,
}

impl State {
    fn is_divided(&self) -> bool {
        self.regions.len() > 1
    }
}

impl<C: Clock> RegionBudgets<C> {
    pub fn new(clock: C, budget_shards: u32) -> RegionBudgets<C> {
        RegionBudgets { clock, budget_shards, state: RefCell::default() }
    }

    /// Whether the document has several regions.
    pub fn is_divided(&self) -> bool {
        self.state.borrow().is_divided()
    }

    /// Applies regions and rates. When the document changes from one region to several, no part is
    /// given until the grants made directly by this holder have expired.
    pub fn set_document(
        &self,
        regions: BTreeSet<RegionId>,
        rates: Rc<BTreeMap<OrganisationId, Rate>>,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let was_divided = state.is_divided();
        state.regions = regions;
        state.rates = rates;
        let State { regions, rates, ledgers, parts } = &mut *state;
        for (fencing, ledger) in ledgers.values_mut() {
            if !was_divided {
                *ledger = PartLedger::new(*fencing, now);
            }
            ledger.set_regions(regions.clone(), now);
        }
        for parts in parts.values_mut() {
            parts.set_rates(rates, now);
        }
    }

    pub fn add_shard(&self, shard: &ShardId, fencing: FencingToken, previous_end: Instant) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match shard {
            ShardId::Budget(_) => {
                let mut ledger = PartLedger::new(fencing, previous_end);
                ledger.set_regions(state.regions.clone(), now);
                state.ledgers.insert(shard.clone(), (fencing, ledger));
            }
            ShardId::RegionBudget { region, .. } => {
                for budget_shard in self.budget_shards_of(shard) {
                    let mut parts = RegionParts::new(region.clone(), fencing, previous_end, now);
                    parts.set_rates(&state.rates, now);
                    state.parts.insert(budget_shard, parts);
                }
            }
            ShardId::Pool { .. } => {}
        }
    }

    pub fn remove_shard(&self, shard: &ShardId) {
        let mut state = self.state.borrow_mut();
        state.ledgers.remove(shard);
        for budget_shard in self.budget_shards_of(shard) {
            state.parts.remove(&budget_shard);
        }
    }

    fn budget_shards_of(&self, shard: &ShardId) -> Vec<ShardId> {
        let index = match shard {
            ShardId::RegionBudget { index, .. } => *index,
            ShardId::Budget(_) | ShardId::Pool { .. } => return Vec::new(),
        };
        let all =
            (0..self.budget_shards).filter(|n| n % ShardId::BUDGET_SHARDS_PER_REGION == index);
        all.map(ShardId::Budget).collect()
    }

    /// Answers a draw from the part of this region, as `Budgets::draw` does from the whole budget.
    pub fn draw(&self, request: &DrawRequest, lease_deadline: Instant) -> DrawAnswer {
        let shard = ShardId::of_organisation(&request.organisation, self.budget_shards);
        let mut state = self.state.borrow_mut();
        let parts = state.parts.get_mut(&shard);
        let answer = parts.map(|parts| parts.draw(request, lease_deadline, self.clock.now()));
        let answer = answer.filter(|_| self.clock.now() < lease_deadline);
        answer.unwrap_or(DrawAnswer::NotHolder(None))
    }

    /// Answers the request of a regional holder, as holder of the budget shard.
    pub fn renew(&self, shard: &ShardId, request: &PartRequest, lease: Instant) -> PartAnswer {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let is_divided = state.is_divided();
        let State { rates, ledgers, .. } = &mut *state;
        let ledger = ledgers.get_mut(shard).filter(|_| is_divided);
        let answer = ledger.map(|(_, ledger)| ledger.renew(request, rates, lease, now));
        let answer = answer.filter(|_| self.clock.now() < lease);
        answer.unwrap_or(PartAnswer::NotHolder(None))
    }

    /// Returns the budget shards whose renewal is due, and postpones their next request.
    pub fn take_due(&self) -> Vec<ShardId> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let due = state.parts.iter_mut().filter(|(_, parts)| parts.request_due() <= now);
        let due = due.map(|(shard, parts)| {
            parts.defer_request(now);
            shard.clone()
        });
        due.collect()
    }

    /// Builds the request to the holder with that fencing token. Returns `None` if the region's
    /// lease has expired.
    pub fn request(
        &self,
        shard: &ShardId,
        holder: FencingToken,
        lease: Instant,
    ) -> Option<PartRequest> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let request = state.parts.get_mut(shard)?.request(holder, lease, now);
        request.filter(|_| self.clock.now() < lease)
    }

    /// Applies the answer to a request.
    pub fn apply(&self, shard: &ShardId, request: &PartRequest, answer: &GrantedParts) {
        let now = self.clock.now();
        if let Some(parts) = self.state.borrow_mut().parts.get_mut(shard) {
            parts.apply(request.fencing, request.sequence, answer, now);
        }
    }
}
