use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::clock::{Clock, Instant};
use crate::hash::rendezvous_order;
use crate::peer::{Heartbeat, Member};
use crate::platform::{ListedInstance, ListedState};
use crate::units::{Incarnation, InstanceId};

/// Silence after which a member counts as dead in this instance's view.
const DEAD_AFTER_MS: u64 = 5_000;
/// Silence after which gossip about another incarnation of the member is believed.
const SUSPECT_AFTER_MS: u64 = 3_000;
/// A member that is neither heard nor listed for this long is forgotten.
const FORGET_AFTER_MS: u64 = 60_000;
/// Fleets up to this size are fully meshed.
const FULL_MESH_MEMBERS: usize = 9;
/// Neighbours chosen by rendezvous order, and as many at random, in larger fleets.
const STABLE_NEIGHBOURS: usize = 4;

/// This instance's view of the fleet. It is a hint: safety rests on leases.
pub struct Membership<C> {
    clock: C,
    own: RefCell<Member>,
    known: RefCell<BTreeMap<InstanceId, Known>>,
    gossip_cursor: RefCell<usize>,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// When the member's heartbeat counter last grew. `None` until its first heartbeat.
    heard_at: Option<Instant>,
    /// When the platform's list last showed this incarnation.
    listed_at: Instant,
}

impl<C: Clock> Membership<C> {
    pub fn new(own: Member, clock: C) -> Membership<C> {
        Membership {
            clock,
            own: RefCell::new(own),
            known: RefCell::default(),
            gossip_cursor: RefCell::new(0),
        }
    }

    /// This instance, with a new heartbeat counter.
    pub fn next_heartbeat_member(&self, load_permille: u32) -> Member {
        let mut own = self.own.borrow_mut();
        own.heartbeat_counter += 1;
        own.load_permille = load_permille;
        own.clone()
    }

    pub fn own(&self) -> Member {
        self.own.borrow().clone()
    }

    pub fn set_leaving(&self) {
        self.own.borrow_mut().is_leaving = true;
    }

    /// Members heard within the last seconds, without this instance.
    pub fn live_peers(&self) -> Vec<Member> {
        let now = self.clock.now();
        self.known
            .borrow()
            .values()
            .filter(|known| known.heard_within(now, DEAD_AFTER_MS))
            .map(|known| known.member.clone())
            .collect()
    }

    /// Live members that are not leaving, this instance included.
    pub fn candidates(&self) -> Vec<Member> {
        let mut members = self.live_peers();
        members.push(self.own());
        members.retain(|member| !member.is_leaving);
        members
    }

    pub fn member(&self, instance: &InstanceId) -> Option<Member> {
        self.known.borrow().get(instance).map(|known| known.member.clone())
    }

    /// Whether this incarnation is neither listed nor heard for as long as the list may lag.
    pub fn is_gone(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let now = self.clock.now();
        match self.known.borrow().get(instance) {
            None => false,
            Some(known) if known.member.incarnation != incarnation => {
                known.heard_at.is_some_and(|heard| now.ms_since(heard) < DEAD_AFTER_MS)
            }
            Some(known) => {
                now.ms_since(known.listed_at) >= FORGET_AFTER_MS
                    && !known.heard_within(now, FORGET_AFTER_MS)
            }
        }
    }

    /// Takes in a heartbeat that its sender sent directly.
    pub fn hear(&self, heartbeat: &Heartbeat) {
        self.hear_member(&heartbeat.sender, true);
        for member in &heartbeat.members {
            self.hear_member(member, false);
        }
    }

    fn hear_member(&self, member: &Member, is_direct: bool) {
        if member.instance == self.own.borrow().instance {
            return;
        }
        let now = self.clock.now();
        let mut all = self.known.borrow_mut();
        let Some(known) = all.get_mut(&member.instance) else {
            let heard_at = Some(now);
            all.insert(
                member.instance.clone(),
                Known { member: member.clone(), heard_at, listed_at: now },
            );
            return;
        };
        if known.member.incarnation == member.incarnation {
            if member.heartbeat_counter > known.member.heartbeat_counter {
                known.member = member.clone();
                known.heard_at = Some(now);
            }
        } else if is_direct || !known.heard_within(now, SUSPECT_AFTER_MS) {
            *known = Known { member: member.clone(), heard_at: Some(now), listed_at: now };
        }
    }

    /// Takes in the platform's list, which may lag.
    pub fn read_list(&self, listed: &[ListedInstance]) {
        let now = self.clock.now();
        let own = self.own();
        let mut all = self.known.borrow_mut();
        for entry in listed.iter().filter(|entry| entry.instance != own.instance) {
            match all.get_mut(&entry.instance) {
                Some(known) if known.member.incarnation == entry.incarnation => {
                    known.listed_at = now;
                }
                Some(known) if known.heard_within(now, FORGET_AFTER_MS) => {}
                _ => {
                    let known = Known { member: from_list(entry), heard_at: None, listed_at: now };
                    all.insert(entry.instance.clone(), known);
                }
            }
        }
        all.retain(|_, known| {
            now.ms_since(known.listed_at) < FORGET_AFTER_MS
                || known.heard_within(now, FORGET_AFTER_MS)
        });
    }

    /// Members to hold connections to: all in a small fleet, otherwise some that stay and some
    /// that change, so that the cost of control does not grow with the fleet.
    pub fn neighbours(&self) -> Vec<Member> {
        let mut members: Vec<Member> =
            self.known.borrow().values().map(|known| known.member.clone()).collect();
        if members.len() < FULL_MESH_MEMBERS {
            return members;
        }
        let own = self.own();
        let mut order: Vec<InstanceId> = members.iter().map(|m| m.instance.clone()).collect();
        rendezvous_order(own.instance.as_str(), &mut order);
        let mut chosen: Vec<InstanceId> = order.drain(..STABLE_NEIGHBOURS).collect();
        for _ in 0..STABLE_NEIGHBOURS {
            let index = rand::random_range(0..order.len());
            chosen.push(order.swap_remove(index));
        }
        members.retain(|member| chosen.contains(&member.instance));
        members
    }

    /// The next members to tell a peer about, in turn.
    pub fn gossip(&self, limit: usize) -> Vec<Member> {
        let now = self.clock.now();
        let all = self.known.borrow();
        let fresh: Vec<&Known> =
            all.values().filter(|known| known.heard_within(now, SUSPECT_AFTER_MS)).collect();
        let mut cursor = self.gossip_cursor.borrow_mut();
        let start = *cursor;
        *cursor = start.wrapping_add(limit);
        (0..fresh.len().min(limit))
            .map(|i| fresh[(start.wrapping_add(i)) % fresh.len()].member.clone())
            .collect()
    }
}

impl Known {
    fn heard_within(&self, now: Instant, limit_ms: u64) -> bool {
        self.heard_at.is_some_and(|heard| now.ms_since(heard) < limit_ms)
    }
}

fn from_list(entry: &ListedInstance) -> Member {
    Member {
        instance: entry.instance.clone(),
        incarnation: entry.incarnation,
        peer_address: entry.peer_address.clone(),
        http_address: entry.http_address.clone(),
        zone: entry.zone.clone(),
        region: entry.region.clone(),
        is_leaving: entry.state == ListedState::Leaving,
        heartbeat_counter: 0,
        load_permille: 0,
    }
}
