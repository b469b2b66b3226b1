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

/// Bounds the difference of two clocks' rates over a TTL, and scheduling delays.
pub(super) const CLOCK_MARGIN_MS: u64 = 500;

/// A call to the table that takes longer counts as unanswered, so that a renewal leaves time for
/// an extension by witnesses within the TTL.
pub(super) const TABLE_TIMEOUT_MS: u64 = 1000;

/// Two rounds of witnesses fit between an unanswered renewal and the lease's deadline.
pub(super) const WITNESS_TIMEOUT_MS: u64 = 500;

/// Longer than a handover with its repeated writes usually takes. Later ones are found by the
/// regular polls.
const HANDOVER_WAIT_MS: u64 = 2000;

/// The shard leases of one instance, and its votes as a witness of others' leases.
pub struct Leases<T, W, C> {
    pub(super) settings: LeasesBuilder<T, W, C>,
    pub(super) state: RefCell<State>,
    sequence: Cell<u64>,
    pub(super) is_leaving: Cell<bool>,
    /// Wakes the candidate loop when a holding that names this instance was learned.
    pub(super) wake_poll: Notify,
}

#[derive(Default)]
pub(super) struct State {
    pub leases: BTreeMap<ShardId, OwnLease>,
    pub observed: BTreeMap<ShardId, ObservedRow>,
    /// Handovers in progress, until they have ended at the latest. The shards must not be regained
    /// meanwhile.
    pub handing_over: BTreeMap<ShardId, Instant>,
    /// Shards whose holder has announced a handover to this instance, and until when it is awaited.
    pub expected_handovers: BTreeMap<ShardId, Instant>,
    /// Instances that did not renew a lease they had; nothing is moved to them until then.
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

    /// Acquires, renews, extends, takes over and rebalances until the watch's sender is dropped.
    /// Leases that are held then lapse by their deadline.
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

    /// The lease of this instance, `None` once its deadline has passed.
    pub fn held(&self, shard: &ShardId) -> Option<HeldLease> {
        let state = self.state.borrow();
        let lease = state.leases.get(shard)?;
        let held = HeldLease { fencing: lease.fencing, deadline: lease.deadline };
        (self.now() < held.deadline).then_some(held)
    }

    /// Before a planned stop: from now on this instance neither takes shards over nor moves them by
    /// rebalancing, whose transfers would run into those of the stop.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// The holder is about to hand the shard over to this instance. Reads the row often, so that
    /// the shard is without a holder only for a short time. False if this instance is leaving.
    pub fn expect_handover(&self, shard: &ShardId) -> bool {
        if self.is_leaving.get() {
            return false;
        }
        let until = self.now().plus_ms(HANDOVER_WAIT_MS);
        self.state.borrow_mut().expected_handovers.insert(shard.clone(), until);
        self.wake_poll.notify_one();
        true
    }

    /// Stops holding the shard, because its state may be in use elsewhere.
    pub fn abandon(&self, shard: &ShardId) {
        self.drop_lease(shard, "given up");
    }

    /// Whether an announced handover may still arrive.
    pub fn is_expecting_handover(&self) -> bool {
        let now = self.now();
        self.state.borrow().expected_handovers.values().any(|until| now < *until)
    }

    /// The newest known holder of the shard.
    pub fn holding(&self, shard: &ShardId) -> Option<Holding> {
        self.state.borrow().holdings.get(shard)
    }

    /// Notes a holder that a peer or a row has named.
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
            self.drop_lease(&shard, "a newer holder exists");
        }
    }

    /// Holders to announce to peers: the latest changes, and the others in turn.
    pub fn recent_holdings(&self, max: usize) -> Vec<Holding> {
        self.state.borrow_mut().holdings.recent(max)
    }

    /// All known holders, for a peer that has just started.
    pub fn known_holdings(&self, max: usize) -> Vec<Holding> {
        self.state.borrow().holdings.all(max)
    }

    /// Witness side: promises to consent to no takeover of this fencing number for the TTL.
    pub fn extend(&self, claim: &LeaseClaim) -> bool {
        if claim.witness_incarnation != self.local().incarnation || self.knows_newer(&claim.holding)
        {
            return false;
        }
        let until = self.now().plus_ms(self.settings.ttl_ms + CLOCK_MARGIN_MS);
        self.state.borrow_mut().promises.extend(&claim.holding, until)
    }

    /// Witness side: agrees to a takeover, and from then on refuses to extend this fencing number.
    pub fn consent(&self, claim: &LeaseClaim) -> bool {
        let own_lease = self.is_own(&claim.holding) && self.held(&claim.holding.shard).is_some();
        if claim.witness_incarnation != self.local().incarnation || own_lease {
            return false;
        }
        self.state.borrow_mut().promises.consent(&claim.holding, self.now())
    }

    /// Gains and losses from now on.
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

    /// Takes the current membership, this instance included unless it is leaving. Each round starts
    /// with it.
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

    /// Witnesses for the next write of a row with this holder.
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

    /// Notes a lease after a write of this instance took effect.
    pub(super) fn record_acquisition(
        &self,
        shard: &ShardId,
        lease: OwnLease,
        row: &LeaseRow,
        end: Instant,
    ) {
        let fencing = lease.fencing;
        log::info!(target: "lease", "gained {shard} with fencing {fencing}");
        metrics::counter!("lease_gained").increment(1);
        let mut state = self.state.borrow_mut();
        state.observed.remove(shard);
        state.expected_handovers.remove(shard);
        state.leases.insert(shard.clone(), lease);
        state.holdings.record_holding(row.holding(shard));
        state.emit(LeaseEvent::Gained { shard: shard.clone(), fencing, previous_end: end });
    }

    /// Drops a lease, if it is there.
    pub(super) fn drop_lease(&self, shard: &ShardId, reason: &str) -> Option<OwnLease> {
        let mut state = self.state.borrow_mut();
        let lease = state.leases.remove(shard)?;
        log::info!(target: "lease", "lost {shard}: {reason}");
        metrics::counter!("lease_lost").increment(1);
        state.emit(LeaseEvent::Lost { shard: shard.clone() });
        Some(lease)
    }
}

impl State {
    /// Whether this instance should neither read nor write the row as a candidate.
    pub(super) fn is_busy(&self, shard: &ShardId, now: Instant) -> bool {
        self.leases.contains_key(shard) || self.handing_over.get(shard).is_some_and(|t| now < *t)
    }

    fn emit(&mut self, event: LeaseEvent) {
        self.events.retain(|receiver| receiver.send(event.clone()).is_ok());
    }
}
