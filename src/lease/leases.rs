use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::{Notify, mpsc, watch};

use crate::clock::{Clock, Instant};
use crate::lease::known_holdings::KnownHoldings;
use crate::lease::observed_row::ObservedRow;
use crate::lease::own_lease::OwnLease;
use crate::lease::promises::Promises;
use crate::lease::ranking::{CandidateOrder, Ranking};
use crate::lease::selection::WitnessChoice;
use crate::lease::{
    HeldLease, Holding, LeaseClaim, LeaseEvent, LeaseRow, LeasesBuilder, Witness, Witnesses,
};
use crate::peer::Member;
use crate::store::Table;
use crate::units::{AttemptId, ShardId};

/// Covers the clock drift between two instances over a TTL and scheduling delays.
pub(super) const CLOCK_MARGIN_MS: u64 = 500;

/// Calls to the table that take longer count as unanswered, which leaves time within the TTL for an
/// extension by witnesses.
pub(super) const TABLE_TIMEOUT_MS: u64 = 1000;

/// Allows two rounds of witness calls between an unanswered renewal and the lease's deadline.
pub(super) const WITNESS_TIMEOUT_MS: u64 = 500;

/// How long an announced handover is awaited with frequent reads. Handovers, including retried
/// writes, usually take less; later ones are found by the regular polls.
const HANDOVER_WAIT_MS: u64 = 2000;

/// The shard leases of one instance, and its promises as a witness of other instances' leases.
pub struct Leases<T, W, C> {
    pub(super) settings: LeasesBuilder<T, W, C>,
    pub(super) state: RefCell<State>,
    sequence: Cell<u64>,
    pub(super) is_leaving: Cell<bool>,
    /// Wakes the poll loop when a holding that names this instance arrives or a handover to it is
    /// announced.
    pub(super) wake_poll: Notify,
}

#[derive(Default)]
pub(super) struct State {
    pub leases: BTreeMap<ShardId, OwnLease>,
    pub observed: BTreeMap<ShardId, ObservedRow>,
    /// Outgoing handovers, each with the time by which it has ended. These shards must not be
    /// reacquired meanwhile.
    pub handing_over: BTreeMap<ShardId, Instant>,
    /// Shards whose holder has announced a handover to this instance, and how long it is awaited.
    pub expected_handovers: BTreeMap<ShardId, Instant>,
    /// Holders that let a lease lapse, with the time of its takeover. Rebalancing moves nothing to
    /// them for a while.
    pub lapsed_holders: BTreeMap<Witness, Instant>,
    pub ranking: Ranking,
    holdings: KnownHoldings,
    promises: Promises,
    events: Vec<mpsc::UnboundedSender<LeaseEvent>>,
}

impl<T: Table, W: Witnesses, C: Clock> Leases<T, W, C> {
    pub(super) fn new(settings: LeasesBuilder<T, W, C>) -> Self {
        Leases {
            settings,
            state: RefCell::default(),
            sequence: Cell::new(0),
            is_leaving: Cell::new(false),
            wake_poll: Notify::new(),
        }
    }

    /// Acquires, renews, extends, takes over and rebalances leases until the sender of `shards` is
    /// dropped. Leases still held then lapse at their deadline.
    pub async fn run(self: Rc<Self>, shards: watch::Receiver<Vec<ShardId>>) {
        let mut sender = shards.clone();
        let ended = async move { while sender.changed().await.is_ok() {} };
        tokio::select! {
            biased;
            () = ended => {}
            () = self.renew_loop() => {}
            () = self.extend_loop() => {}
            () = self.poll_loop(&shards) => {}
            () = self.rebalance_loop() => {}
        }
    }

    /// Returns the lease if this instance holds it and its deadline has not passed.
    pub fn held(&self, shard: &ShardId) -> Option<HeldLease> {
        let state = self.state.borrow();
        let lease = state.leases.get(shard)?;
        let held = HeldLease { fencing: lease.fencing, deadline: lease.deadline };
        (self.now() < held.deadline).then_some(held)
    }

    /// Prepares a planned stop: from now on this instance neither takes over shards nor rebalances
    /// them, as rebalancing transfers would interfere with those of the stop.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// Prepares for a handover of the shard to this instance that its holder has announced: the row
    /// is read often, to keep the time without a holder short. Returns false if this instance is
    /// leaving.
    pub fn expect_handover(&self, shard: &ShardId) -> bool {
        if self.is_leaving.get() {
            return false;
        }
        let until = self.now().plus_ms(HANDOVER_WAIT_MS);
        self.state.borrow_mut().expected_handovers.insert(shard.clone(), until);
        self.wake_poll.notify_one();
        true
    }

    /// Drops the lease locally because the shard's state may already be in use on another instance.
    pub fn abandon(&self, shard: &ShardId) {
        self.drop_lease(shard, "given up");
    }

    /// Whether an announced handover may still arrive.
    pub fn is_expecting_handover(&self) -> bool {
        let now = self.now();
        self.state.borrow().expected_handovers.values().any(|until| now < *until)
    }

    /// The latest known holder of the shard.
    pub fn holding(&self, shard: &ShardId) -> Option<Holding> {
        self.state.borrow().holdings.get(shard)
    }

    /// Records a holder reported by a peer or read from a row. Drops the local lease if the holding
    /// has a higher fencing token.
    pub fn record_holding(&self, holding: Holding) {
        let shard = holding.shard.clone();
        let is_own = self.is_own(&holding);
        let fencing = holding.fencing;
        if !self.state.borrow_mut().holdings.record_holding(holding) {
            return;
        }
        if is_own {
            self.wake_poll.notify_one();
            return;
        }
        let is_older =
            self.state.borrow().leases.get(&shard).is_some_and(|lease| lease.fencing < fencing);
        if is_older {
            self.drop_lease(&shard, "superseded by a newer holder");
        }
    }

    /// Holders to announce to peers: recent changes, and the others in rotation.
    pub fn recent_holdings(&self, max: usize) -> Vec<Holding> {
        self.state.borrow_mut().holdings.recent(max)
    }

    /// All known holders, for a peer that has just started.
    pub fn known_holdings(&self, max: usize) -> Vec<Holding> {
        self.state.borrow().holdings.all(max)
    }

    /// As a witness, promises not to consent to a takeover of this fencing token for the TTL.
    pub fn extend(&self, claim: &LeaseClaim) -> bool {
        if claim.witness_incarnation != self.local().incarnation || self.knows_newer(&claim.holding)
        {
            return false;
        }
        let until = self.now().plus_ms(self.settings.ttl_ms + CLOCK_MARGIN_MS);
        self.state.borrow_mut().promises.extend(&claim.holding, until)
    }

    /// As a witness, consents to a takeover, and from then on refuses to extend this fencing token.
    pub fn consent(&self, claim: &LeaseClaim) -> bool {
        let own_lease = self.is_own(&claim.holding) && self.held(&claim.holding.shard).is_some();
        if claim.witness_incarnation != self.local().incarnation || own_lease {
            return false;
        }
        self.state.borrow_mut().promises.consent(&claim.holding, self.now())
    }

    /// Subscribes to leases acquired and lost from now on.
    pub fn events(&self) -> mpsc::UnboundedReceiver<LeaseEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.state.borrow_mut().events.push(sender);
        receiver
    }

    pub(super) fn local(&self) -> &Member {
        &self.settings.local_member
    }

    pub(super) fn now(&self) -> Instant {
        self.settings.clock.now()
    }

    fn is_own(&self, holding: &Holding) -> bool {
        holding.holder == self.local().instance && holding.incarnation == self.local().incarnation
    }

    fn knows_newer(&self, holding: &Holding) -> bool {
        self.holding(&holding.shard).is_some_and(|known| known.fencing > holding.fencing)
    }

    pub(super) fn next_attempt(&self) -> AttemptId {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        AttemptId {
            instance: self.local().instance.clone(),
            incarnation: self.local().incarnation,
            sequence,
        }
    }

    /// Updates the ranking to the current membership, which includes this instance unless it is
    /// leaving. Called at the start of each round.
    pub(super) fn refresh_members(&self) {
        let mut members = self.settings.witnesses.candidates();
        members.retain(|m| m.instance != self.local().instance);
        if !self.is_leaving.get() {
            members.push(self.local().clone());
        }
        self.state.borrow_mut().ranking.set_members(members);
    }

    /// Members that may hold the shard, in rendezvous order.
    pub(super) fn order(&self, shard: &ShardId) -> Rc<CandidateOrder> {
        self.state.borrow_mut().ranking.order(shard)
    }

    /// Chooses the witnesses for the next write of a row with this holder.
    pub(super) fn choose_witnesses(
        &self,
        shard: &ShardId,
        holder: &Member,
        current: &[Witness],
        refused: &[Witness],
    ) -> Vec<Witness> {
        let order = self.order(shard);
        let live = self.state.borrow().ranking.live();
        let choice = WitnessChoice { holder, order: &order, live: &live, current, refused };
        choice
            .choose(|instance, incarnation| self.settings.witnesses.is_gone(instance, incarnation))
    }

    /// Records a lease after a write of this instance was applied.
    pub(super) fn record_acquisition(
        &self,
        shard: &ShardId,
        lease: OwnLease,
        row: &LeaseRow,
        end: Instant,
    ) {
        let fencing = lease.fencing;
        log::info!(target: "lease", "acquired the lease of {shard} with fencing token {fencing}");
        metrics::counter!("lease_gained").increment(1);
        let mut state = self.state.borrow_mut();
        state.observed.remove(shard);
        state.expected_handovers.remove(shard);
        state.leases.insert(shard.clone(), lease);
        state.holdings.record_holding(row.holding(shard));
        state.emit(LeaseEvent::Gained { shard: shard.clone(), fencing, previous_end: end });
    }

    /// Removes a lease, if present, and emits the loss.
    pub(super) fn drop_lease(&self, shard: &ShardId, reason: &str) -> Option<OwnLease> {
        let mut state = self.state.borrow_mut();
        let lease = state.leases.remove(shard)?;
        log::info!(target: "lease", "lost the lease of {shard}: {reason}");
        metrics::counter!("lease_lost").increment(1);
        state.emit(LeaseEvent::Lost { shard: shard.clone() });
        Some(lease)
    }
}

impl State {
    /// Whether this instance, as a candidate, must neither read nor write the row.
    pub(super) fn is_busy(&self, shard: &ShardId, now: Instant) -> bool {
        self.leases.contains_key(shard) || self.handing_over.get(shard).is_some_and(|t| now < *t)
    }

    fn emit(&mut self, event: LeaseEvent) {
        self.events.retain(|receiver| receiver.send(event.clone()).is_ok());
    }
}
