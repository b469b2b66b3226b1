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

/// Token buckets of the organisations whose budget shards this instance holds.
pub struct Budgets<C: Clock> {
    clock: C,
    budget_shards: u32,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    rates: BTreeMap<OrganisationId, OrganisationRate>,
    is_suspended: bool,
    shards: BTreeMap<ShardId, Shard>,
    /// State received from previous holders, kept until the lease is acquired.
    imported: BTreeMap<ShardId, Shard>,
}

struct OrganisationRate {
    rate: Rate,
    /// The bucket starts empty at this time, so that removing an organisation and adding it again
    /// does not refill its bucket.
    added_at: Instant,
}

impl<C: Clock> Budgets<C> {
    pub fn new(clock: C, budget_shards: u32) -> Budgets<C> {
        Budgets { clock, budget_shards, state: RefCell::default() }
    }

    /// Answers a draw. The lease on the shard must be valid when the draw arrives and when its
    /// answer is ready.
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

    /// Adds a shard whose previous lease ended at `previous_end`. Unless the direct predecessor
    /// handed its state over, levels start at zero, and bursts count as outstanding until the
    /// grants of the previous holder have expired.
    pub fn add_shard(&self, id: &ShardId, fencing: FencingToken, previous_end: Instant) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.shards.get(id).is_some_and(|shard| shard.fencing >= fencing) {
            return;
        }
        let handed_over = state.imported.remove(id);
        let shard = match handed_over.filter(|shard| shard.fencing.0 + 1 == fencing.0) {
            Some(mut shard) => {
                info!(target: "budget", "{id}: resuming with the state of the previous holder");
                shard.fencing = fencing;
                shard
            }
            None => {
                info!(target: "budget", "{id}: starting with empty buckets");
                Shard::new(fencing, previous_end.plus_ms(GRANT_TTL_MS + GRANT_MARGIN_MS), now)
            }
        };
        state.shards.insert(id.clone(), shard);
        state.apply_rates(now);
    }

    pub fn remove_shard(&self, id: &ShardId) {
        self.state.borrow_mut().shards.remove(id);
    }

    /// Applies the rates immediately. Draws of organisations that are not listed are answered with
    /// `UnknownOrganisation`.
    pub fn set_rates(&self, rates: &BTreeMap<OrganisationId, Rate>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let wait_ms = if std::mem::take(&mut state.is_suspended) { REGION_REMOVAL_MS } else { 0 };
        let added_now = now.plus_ms(wait_ms);
        let known = rates.iter().map(|(organisation, rate)| {
            let known = state.rates.get(organisation);
            let added_at = known.map_or(added_now, |known| known.added_at);
            (organisation.clone(), OrganisationRate { rate: *rate, added_at })
        });
        state.rates = known.collect();
        state.apply_rates(now);
    }

    /// Stops granting while budgets are split between regions. Buckets created later start empty at
    /// a time when regions removed from the document have stopped using their parts.
    pub fn suspend(&self) {
        let mut state = self.state.borrow_mut();
        state.rates.clear();
        state.is_suspended = true;
        state.shards.values_mut().for_each(|shard| shard.buckets.clear());
    }

    /// Serialises a held shard for its next holder and stops granting from it, since further grants
    /// would make the state outdated. If the outcome of the handover is unknown, the lease must
    /// expire before the shard is used again.
    pub fn export(&self, id: &ShardId) -> Option<Vec<u8>> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let shard = state.shards.get_mut(id).filter(|shard| !shard.is_exported)?;
        shard.stop_clock(now);
        serde_json::to_vec(shard)
            .inspect_err(
                |e| warn!(target: "budget", "{id}: cannot serialise the budget state: {e}"),
            )
            .ok()
    }

    /// Resumes granting after a handover that the receiver certainly did not apply.
    pub fn cancel_export(&self, id: &ShardId) {
        let now = self.clock.now();
        if let Some(shard) = self.state.borrow_mut().shards.get_mut(id) {
            shard.resume_clock(now);
            shard.is_exported = false;
        }
    }

    /// Stores the state from a handover until `add_shard`, which uses it only if the lease passes
    /// directly from the exporting holder to this instance.
    pub fn import(&self, id: &ShardId, state: &[u8]) -> Result<(), serde_json::Error> {
        let mut shard: Shard = serde_json::from_slice(state)?;
        shard.resume_clock(self.clock.now());
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
