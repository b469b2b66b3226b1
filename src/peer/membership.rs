use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use crate::clock::{Clock, Instant};
use crate::hash::rendezvous_order;
use crate::peer::known_member::KnownMember;
use crate::peer::{Digest, Member};
use crate::store::ListedInstance;
use crate::units::{Incarnation, InstanceId};

/// Time without an increase of its counter after which a member is considered dead.
pub(super) const DEAD_AFTER_MS: u64 = 5_000;
/// Time without an increase of its counter after which reports of another incarnation of the member
/// are accepted from third parties.
pub(super) const SUSPECT_AFTER_MS: u64 = 3_000;
/// Maximum lag of the platform's instance list.
const LIST_LAG_MS: u64 = 60_000;
/// How long a read of the list is considered current.
const LIST_CURRENT_MS: u64 = 15_000;
/// How long a member is kept that is neither heard nor listed. Longer than the list's lag, since
/// leases ask whether a witness has ended.
const FORGET_AFTER_MS: u64 = 3_600_000;
/// Instances with fewer known peers than this connect to all of them.
const FULL_MESH_MEMBERS: usize = 9;
/// Number of neighbours chosen by rendezvous order, and again of those chosen at random, in larger
/// fleets.
const STABLE_NEIGHBOURS: usize = 4;
/// Interval at which the heartbeat counter increases by one. Its low eight bits repeat after 64 s.
const COUNTER_STEP_MS: u64 = 250;

/// The fleet as seen by this instance. The view may be wrong; safety depends on leases only.
pub struct Membership<C> {
    pub(super) clock: C,
    pub(super) started_at: Instant,
    pub(super) local_member: RefCell<Member>,
    pub(super) local_key: u32,
    pub(super) known: RefCell<BTreeMap<InstanceId, KnownMember>>,
    /// Keys reported by peers that this instance does not know, with the time they were last seen.
    pub(super) unknown_keys: RefCell<BTreeMap<u32, Instant>>,
    list_read_at: Cell<Option<Instant>>,
    pub(super) changed_cursor: Cell<usize>,
    pub(super) digest_round: Cell<u32>,
}

impl<C: Clock> Membership<C> {
    pub fn new(own: Member, clock: C) -> Membership<C> {
        Membership {
            started_at: clock.now(),
            clock,
            local_key: Digest::key(&own.instance, own.incarnation),
            local_member: RefCell::new(own),
            known: RefCell::default(),
            unknown_keys: RefCell::default(),
            list_read_at: Cell::default(),
            changed_cursor: Cell::default(),
            digest_round: Cell::default(),
        }
    }

    /// The heartbeat counter of this instance. Peers compare it with its previous value, never with
    /// their clock.
    pub(super) fn current_counter(&self) -> u64 {
        self.clock.now().ms_since(self.started_at) / COUNTER_STEP_MS + 1
    }

    pub fn local_member(&self) -> Member {
        self.local_member.borrow().clone()
    }

    pub fn set_leaving(&self) {
        self.local_member.borrow_mut().is_leaving = true;
    }

    /// Members heard within the last `DEAD_AFTER_MS`, without this instance.
    pub fn live_peers(&self) -> Vec<Member> {
        let now = self.clock.now();
        self.known
            .borrow()
            .values()
            .filter(|known| known.heard_within(now, DEAD_AFTER_MS))
            .map(|known| known.member.clone())
            .collect()
    }

    /// Live members that are not leaving, including this instance.
    pub fn candidates(&self) -> Vec<Member> {
        let mut members = self.live_peers();
        members.push(self.local_member());
        members.retain(|member| !member.is_leaving);
        members
    }

    /// Whether this incarnation of an instance was heard within the last `DEAD_AFTER_MS`.
    pub fn is_live(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let own = self.local_member.borrow();
        if *instance == own.instance {
            return incarnation == own.incarnation;
        }
        let now = self.clock.now();
        self.known.borrow().get(instance).is_some_and(|known| {
            known.member.incarnation == incarnation && known.heard_within(now, DEAD_AFTER_MS)
        })
    }

    pub fn member(&self, instance: &InstanceId) -> Option<Member> {
        self.known.borrow().get(instance).map(|known| known.member.clone())
    }

    /// Whether this incarnation has definitely ended: the instance runs as another incarnation, or
    /// the platform's list has not contained it for longer than the list may lag. While the list
    /// cannot be read, an instance that is not heard may just be partitioned.
    pub fn is_gone(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let now = self.clock.now();
        let known_members = self.known.borrow();
        let Some(known) = known_members.get(instance) else { return false };
        if known.member.incarnation != incarnation {
            return known.heard_within(now, DEAD_AFTER_MS) || known.was_listed;
        }
        let read_at = self.list_read_at.get();
        let is_list_current = read_at.is_some_and(|at| now.ms_since(at) < LIST_CURRENT_MS);
        let is_unlisted =
            known.unlisted_since.is_some_and(|since| now.ms_since(since) >= LIST_LAG_MS);
        known.was_listed && is_list_current && is_unlisted && !known.heard_within(now, LIST_LAG_MS)
    }

    /// Merges the platform's instance list, which may lag.
    pub fn merge_instance_list(&self, listed: &[ListedInstance]) {
        let now = self.clock.now();
        self.list_read_at.set(Some(now));
        let own = self.local_member();
        let mut known_members = self.known.borrow_mut();
        for entry in listed.iter().filter(|entry| entry.instance != own.instance) {
            match known_members.get_mut(&entry.instance) {
                Some(known) if known.member.incarnation == entry.incarnation => {
                    known.was_listed = true;
                    known.unlisted_since = None;
                }
                // The list lags behind what the instance itself reported.
                Some(known) if known.heard_within(now, LIST_LAG_MS) => {}
                _ => {
                    known_members
                        .insert(entry.instance.clone(), KnownMember::from_list_entry(entry));
                }
            }
        }
        for known in known_members.values_mut() {
            let is_listed = listed.iter().any(|entry| {
                entry.instance == known.member.instance
                    && entry.incarnation == known.member.incarnation
            });
            if !is_listed {
                known.unlisted_since.get_or_insert(now);
            }
        }
        known_members.retain(|_, known| {
            known.heard_within(now, FORGET_AFTER_MS)
                || known.unlisted_since.is_none_or(|since| now.ms_since(since) < FORGET_AFTER_MS)
        });
    }

    /// Members to keep connections to: all in a small fleet, otherwise a fixed and a changing part
    /// of them, so that the cost of control traffic does not grow with the fleet.
    pub fn neighbours(&self) -> Vec<Member> {
        let now = self.clock.now();
        let known_members = self.known.borrow();
        let is_reachable =
            |k: &&KnownMember| k.heard_within(now, LIST_LAG_MS) || k.unlisted_since.is_none();
        let mut members: Vec<Member> =
            known_members.values().filter(is_reachable).map(|known| known.member.clone()).collect();
        drop(known_members);
        if members.len() < FULL_MESH_MEMBERS {
            return members;
        }
        let own = self.local_member();
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
}
