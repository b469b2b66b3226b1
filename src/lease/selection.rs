//! Selection of the instances that may hold a shard and of the witnesses of its lease.

use std::collections::HashMap;

use crate::lease::Witness;
use crate::lease::ranking::CandidateOrder;
use crate::peer::Member;
use crate::units::{Incarnation, InstanceId, ShardId, ZoneId};

/// Whether a member may hold or witness the shard. Pools and parts of budgets stay within their
/// region, so that a region that is cut off keeps them.
pub(super) fn is_eligible(shard: &ShardId, member: &Member) -> bool {
    match shard {
        ShardId::Budget(_) => true,
        ShardId::RegionBudget { region, .. } | ShardId::Pool { region, .. } => {
            member.region == *region
        }
    }
}

/// Number of witnesses: 5, or 3 in fleets of fewer than 5 instances, or 1 in fleets of fewer than
/// 3.
fn witness_count(fleet_size: usize) -> usize {
    match fleet_size {
        0..3 => 1,
        3..5 => 3,
        _ => 5,
    }
}

/// The inputs for the choice of a row's witnesses.
pub(super) struct WitnessChoice<'a> {
    pub holder: &'a Member,
    pub order: &'a CandidateOrder,
    /// Live members that are not leaving.
    pub live: &'a [Member],
    pub current: &'a [Witness],
    pub refused: &'a [Witness],
}

impl WitnessChoice<'_> {
    /// Keeps current witnesses that are live and agree, and adds members from the zones with the
    /// fewest witnesses. Unresponsive witnesses stay only if no member can replace them and their
    /// process may still run: a holder that is cut off from its peers must not form a majority by
    /// itself.
    pub fn choose(&self, is_gone: impl Fn(&InstanceId, Incarnation) -> bool) -> Vec<Witness> {
        let mut chosen = vec![Witness::of(self.holder)];
        let is_unresponsive =
            |w: &&Witness| !self.is_responsive(w) && !is_gone(&w.instance, w.incarnation);
        let kept = self.current.iter().filter(|w| **w != chosen[0]);
        let unresponsive: Vec<Witness> = kept.clone().filter(is_unresponsive).cloned().collect();
        let count = witness_count(self.fleet_size()).max(match unresponsive.is_empty() {
            true => 1,
            false => self.current.len(),
        });
        let responsive: Vec<Witness> = kept.filter(|w| self.is_responsive(w)).cloned().collect();
        chosen.extend(responsive.into_iter().take(count - 1));
        while chosen.len() < count {
            let Some(next) = self.next_witness(&chosen) else { break };
            chosen.push(next);
        }
        let missing = count - chosen.len();
        chosen.extend(unresponsive.into_iter().take(missing));
        chosen
    }

    /// Counts a leaving holder too, so that a small fleet keeps the number of its witnesses.
    fn fleet_size(&self) -> usize {
        let is_counted = self.live.iter().any(|m| m.instance == self.holder.instance);
        self.order.eligible_count + usize::from(!is_counted)
    }

    fn is_responsive(&self, witness: &Witness) -> bool {
        self.live.iter().any(|m| Witness::of(m) == *witness) && !self.refused.contains(witness)
    }

    fn next_witness(&self, chosen: &[Witness]) -> Option<Witness> {
        let mut per_zone: HashMap<&ZoneId, usize> = HashMap::new();
        for member in self.live.iter().filter(|m| chosen.contains(&Witness::of(m))) {
            *per_zone.entry(&member.zone).or_default() += 1;
        }
        let unchosen = self.order.top_ranked.iter().filter(|m| {
            let witness = Witness::of(m);
            self.is_responsive(&witness) && !chosen.iter().any(|c| c.instance == witness.instance)
        });
        unchosen.min_by_key(|m| per_zone.get(&m.zone).copied().unwrap_or(0)).map(Witness::of)
    }
}
