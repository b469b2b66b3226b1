use std::cell::RefCell;
use std::collections::BTreeMap;

use log::{info, warn};

use super::bucket::Bucket;
use super::draw::{DrawAnswer, DrawRequest};
use super::limits::{GRANT_MARGIN_MS, GRANT_TTL_MS, REGION_REMOVAL_MS};
use super::shard::Shard;
use crate::clock::{Clock, Instant};
use crate::config::Rate;
use crate::units::{FencingToken, OrganisationId, ShardId, Tokens, TokensPerSecond};

/// Buckets of the organisations whose budget shards this instance holds.
pub struct Budgets<C: Clock> {
    clock: C,
    budget_shards: u32,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    rates: BTreeMap<OrganisationId, KnownRate>,
    is_suspended: bool,
    shards: BTreeMap<ShardId, Shard>,
    /// Received from a holder that hands over, until the lease arrives.
    imported: BTreeMap<ShardId, Shard>,
}

struct KnownRate {
    rate: Rate,
    /// An organisation added later starts with an empty bucket, so that removing and adding it
    /// again does not fill it.
    added_at: Instant,
}

impl<C: Clock> Budgets<C> {
    pub fn new(clock: C, budget_shards: u32) -> Budgets<C> {
        Budgets { clock, budget_shards, state: RefCell::default() }
    }

    /// Answers a draw if the lease on the organisation's shard lasts until the answer is made.
    pub fn draw(&self, request: &DrawRequest, lease_deadline: Instant) -> DrawAnswer {
        let now = self.clock.now();
        if now >= lease_deadline {
            return DrawAnswer::NotHolder(None);
        }
        let answer = self.draw_held(request, now);
        if self.clock.now() >= lease_deadline {
            return DrawAnswer::NotHolder(None);
        }
        answer
    }

    fn draw_held(&self, request: &DrawRequest, now: Instant) -> DrawAnswer {
        let id = ShardId::of_organisation(&request.organisation, self.budget_shards);
        let mut state = self.state.borrow_mut();
        let State { rates, shards, .. } = &mut *state;
        let Some(shard) = shards.get_mut(&id).filter(|shard| !shard.is_exported) else {
            return DrawAnswer::NotHolder(None);
        };
        let Some(known) = rates.get(&request.organisation) else {
            return DrawAnswer::UnknownOrganisation;
        };
        let at = shard.time_at(now);
        shard.sweep(at);
        let filling_since = shard.filling_since.max(shard.time_at(known.added_at));
        let bucket = shard.buckets.entry(request.organisation.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(known.rate, filling_since, at));
        DrawAnswer::Granted(bucket.draw(request, at))
    }

    /// Starts a holding whose predecessor's lease ended at `previous_end`. Levels start at zero and
    /// bursts count as outstanding until old grants have expired, unless the direct predecessor
    /// handed its state over.
    pub fn add_shard(&self, id: &ShardId, fencing: FencingToken, previous_end: Instant) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.shards.get(id).is_some_and(|shard| shard.fencing >= fencing) {
            return;
        }
        let handed_over = state.imported.remove(id);
        let shard = match handed_over.filter(|shard| shard.fencing.0 + 1 == fencing.0) {
            Some(mut shard) => {
                info!(target: "budget", "{id} continues with the state of its previous holder");
                shard.fencing = fencing;
                shard
            }
            None => {
                info!(target: "budget", "{id} starts with empty buckets");
                Shard::new(fencing, previous_end.plus_ms(GRANT_TTL_MS + GRANT_MARGIN_MS), now)
            }
        };
        state.shards.insert(id.clone(), shard);
        state.apply_rates(now);
    }

    pub fn remove_shard(&self, id: &ShardId) {
        self.state.borrow_mut().shards.remove(id);
    }

    /// Puts rates in force at once. Organisations that are missing are unknown from now on.
    pub fn set_rates(&self, rates: &BTreeMap<OrganisationId, Rate>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let wait_ms = if std::mem::take(&mut state.is_suspended) { REGION_REMOVAL_MS } else { 0 };
        let added_now = now.plus_ms(wait_ms);
        let known = rates.iter().map(|(organisation, rate)| {
            let known = state.rates.get(organisation);
            let added_at = known.map_or(added_now, |known| known.added_at);
            (organisation.clone(), KnownRate { rate: *rate, added_at })
        });
        state.rates = known.collect();
        state.apply_rates(now);
    }

    /// Stops granting because the regions have the budgets. Buckets that are made later start
    /// empty, once regions that left the document use nothing any more.
    pub fn suspend(&self) {
        let mut state = self.state.borrow_mut();
        state.rates.clear();
        state.is_suspended = true;
        state.shards.values_mut().for_each(|shard| shard.buckets.clear());
    }

    /// The state of a held shard for its next holder. The shard grants nothing more here, because
    /// the state would no longer be true; if the handover fails, the lease must run out.
    pub fn export(&self, id: &ShardId) -> Option<Vec<u8>> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let shard = state.shards.get_mut(id).filter(|shard| !shard.is_exported)?;
        shard.stop(now);
        serde_json::to_vec(shard).inspect_err(|e| warn!(target: "budget", "{id}: {e}")).ok()
    }

    /// Goes on with a shard whose exported state was certainly not taken.
    pub fn cancel_export(&self, id: &ShardId) {
        let now = self.clock.now();
        if let Some(shard) = self.state.borrow_mut().shards.get_mut(id) {
            shard.resume(now);
            shard.is_exported = false;
        }
    }

    /// Keeps a handed-over state until `add_shard`. It counts only if the lease comes directly from the
    /// holder that exported it.
    pub fn import(&self, id: &ShardId, state: &[u8]) -> Result<(), serde_json::Error> {
        let mut shard: Shard = serde_json::from_slice(state)?;
        shard.resume(self.clock.now());
        self.state.borrow_mut().imported.insert(id.clone(), shard);
        Ok(())
    }
}

impl State {
    fn apply_rates(&mut self, now: Instant) {
        let none = Rate { rate_tokens_per_s: TokensPerSecond(0), burst_tokens: Tokens(0) };
        for shard in self.shards.values_mut() {
            let at = shard.time_at(now);
            for (organisation, bucket) in &mut shard.buckets {
                let known = self.rates.get(organisation);
                bucket.set_rate(known.map_or(none, |known| known.rate), at);
            }
        }
    }
}
