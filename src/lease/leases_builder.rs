use std::rc::Rc;

use futures::future::LocalBoxFuture;

use crate::clock::Clock;
use crate::lease::{Leases, Witnesses};
use crate::peer::Member;
use crate::store::Table;
use crate::units::ShardId;

/// Transfers a shard's state to its successor before rebalancing hands the lease over. If it
/// returns false, the lease is not moved.
pub type StateSender = Rc<dyn Fn(ShardId, Member) -> LocalBoxFuture<'static, bool>>;

/// Builder of `Leases`. All instances must use the same TTL.
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
    /// Defaults: a TTL of 3 s, renewal every second, a poll every 500 ms and 3 candidates.
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

    /// Duration of a lease, counted from when its write or extension was sent.
    pub fn ttl_ms(mut self, ttl_ms: u64) -> Self {
        self.ttl_ms = ttl_ms;
        self
    }

    /// Interval of renewals. Must be well below half the TTL, when extensions begin.
    pub fn renew_ms(mut self, renew_ms: u64) -> Self {
        self.renew_ms = renew_ms;
        self
    }

    /// Interval at which candidates read rows.
    pub fn poll_ms(mut self, poll_ms: u64) -> Self {
        self.poll_ms = poll_ms;
        self
    }

    /// Number of instances, in rendezvous order, that read a shard's row and may take it over.
    pub fn candidates(mut self, candidates: usize) -> Self {
        self.candidates = candidates;
        self
    }

    /// Sets the function that transfers a shard's state before rebalancing moves it. `hand_over`
    /// does not call it.
    pub fn state_sender(mut self, state_sender: StateSender) -> Self {
        self.state_sender = Some(state_sender);
        self
    }

    /// Returns an `Rc`, as `Leases::run` shares the leases with their callers.
    pub fn build(self) -> Rc<Leases<T, W, C>> {
        Rc::new(Leases::new(self))
    }
}
