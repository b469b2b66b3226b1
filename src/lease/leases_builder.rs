use std::rc::Rc;

use futures::future::LocalBoxFuture;

use crate::clock::Clock;
use crate::lease::{Leases, Witnesses};
use crate::peer::Member;
use crate::store::Table;
use crate::units::ShardId;

/// Sends a shard's state to its successor before rebalancing hands the lease over. False keeps the
/// lease here.
pub type StateSender = Rc<dyn Fn(ShardId, Member) -> LocalBoxFuture<'static, bool>>;

/// Settings of `Leases`. All instances must use the same TTL.
#[derive(Clone)]
pub struct LeasesBuilder<T, W, C> {
    pub(super) local_member: Member,
    pub(super) table: T,
    pub(super) witnesses: W,
    pub(super) clock: C,
    pub(super) ttl_ms: u64,
    pub(super) renew_ms: u64,
    pub(super) poll_ms: u64,
    pub(super) candidates: usize,
    pub(super) state_sender: Option<StateSender>,
}

impl<T: Table, W: Witnesses, C: Clock> LeasesBuilder<T, W, C> {
    /// The defaults of the design: TTL 3 s, renewal each second, a poll each 500 ms, 3 candidates.
    pub fn new(local_member: Member, table: T, witnesses: W, clock: C) -> LeasesBuilder<T, W, C> {
        LeasesBuilder {
            local_member,
            table,
            witnesses,
            clock,
            ttl_ms: 3000,
            renew_ms: 1000,
            poll_ms: 500,
            candidates: 3,
            state_sender: None,
        }
    }

    /// How long a lease lasts from the moment its write or extension was sent.
    pub fn ttl_ms(mut self, ttl_ms: u64) -> Self {
        self.ttl_ms = ttl_ms;
        self
    }

    /// Interval of renewals; well under half the TTL, when extensions begin.
    pub fn renew_ms(mut self, renew_ms: u64) -> Self {
        self.renew_ms = renew_ms;
        self
    }

    /// Interval at which candidates read rows.
    pub fn poll_ms(mut self, poll_ms: u64) -> Self {
        self.poll_ms = poll_ms;
        self
    }

    /// How many instances, in rendezvous order, read a shard's row and may take it over.
    pub fn candidates(mut self, candidates: usize) -> Self {
        self.candidates = candidates;
        self
    }

    /// Called before each move of a shard by rebalancing; `hand_over` does not call it.
    pub fn state_sender(mut self, state_sender: StateSender) -> Self {
        self.state_sender = Some(state_sender);
        self
    }

    /// `Leases::run` takes an `Rc`, so that others can ask for leases while it runs.
    pub fn build(self) -> Rc<Leases<T, W, C>> {
        Rc::new(Leases::new(self))
    }
}
