use std::collections::HashMap;
use std::rc::Rc;

use crate::hash::rendezvous_order;
use crate::lease::selection::is_eligible;
use crate::peer::Member;
use crate::units::ShardId;

/// Members kept in the order of each shard, to bound memory in large fleets.
const MAX_RANKED_MEMBERS: usize = 16;

/// Rendezvous order of each shard, cached until the membership changes. Hashing every member for
/// every shard at each poll would use a few percent of a core in a fleet of 370 instances.
#[derive(Debug, Default)]
pub(super) struct Ranking {
    /// Live members that are not leaving.
    live: Rc<Vec<Member>>,
    orders: HashMap<ShardId, Rc<CandidateOrder>>,
}

/// Members that may hold a shard.
#[derive(Debug)]
pub(super) struct CandidateOrder {
    /// The first `MAX_RANKED_MEMBERS` in rendezvous order.
    pub top_ranked: Vec<Member>,
    /// Number of members that may hold the shard.
    pub eligible_count: usize,
}

/// Ranks a member by its instance id.
struct ByInstance<'a>(&'a Member);

impl AsRef<str> for ByInstance<'_> {
    fn as_ref(&self) -> &str {
        self.0.instance.as_str()
    }
}

impl Ranking {
    pub fn set_members(&mut self, members: Vec<Member>) {
        let live: Vec<Member> = members.into_iter().filter(|m| !m.is_leaving).collect();
        let is_same = |(old, new): (&Member, &Member)| {
            old.instance == new.instance
                && old.incarnation == new.incarnation
                && old.zone == new.zone
                && old.region == new.region
        };
        if live.len() != self.live.len() || !self.live.iter().zip(&live).all(is_same) {
            self.orders.clear();
            self.live = Rc::new(live);
        }
    }

    pub fn live(&self) -> Rc<Vec<Member>> {
        self.live.clone()
    }

    pub fn order(&mut self, shard: &ShardId) -> Rc<CandidateOrder> {
        if let Some(order) = self.orders.get(shard) {
            return order.clone();
        }
        let eligible = self.live.iter().filter(|m| is_eligible(shard, m));
        let mut ranked: Vec<ByInstance> = eligible.map(ByInstance).collect();
        rendezvous_order(&shard.to_string(), &mut ranked);
        let top_ranked = ranked.iter().take(MAX_RANKED_MEMBERS).map(|m| m.0.clone()).collect();
        let order = Rc::new(CandidateOrder { top_ranked, eligible_count: ranked.len() });
        self.orders.insert(shard.clone(), order.clone());
        order
    }

    pub fn retain(&mut self, is_used: impl Fn(&ShardId) -> bool) {
        self.orders.retain(|shard, _| is_used(shard));
    }
}
