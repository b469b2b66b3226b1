use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::{Clock, Instant};
use crate::config::Document;
use crate::engine::Order;
use crate::pool::shard::Shard;
use crate::pool::{
    Admission, AdmitAnswer, EndpointStatus, EngineFactory, FinishedAttempt, PoolError, Progress,
    WeightDraws,
};
use crate::suspect::RanRequest;
use crate::units::{EndpointId, FencingToken, Incarnation, InstanceId, ShardId};

type Shards<F, C> = HashMap<ShardId, Rc<Shard<<F as EngineFactory>::Engine, C>>>;

/// The pools that this instance owns.
pub struct Pools<F: EngineFactory, C: Clock> {
    factory: F,
    clock: C,
    document: RefCell<Rc<Document>>,
    shards: RefCell<Shards<F, C>>,
    weight_draws: Option<WeightDraws>,
}

impl<F: EngineFactory, C: Clock> Pools<F, C> {
    /// A prefill endpoint's queue moves on without an event, so waiting admissions are tried again
    /// at this period.
    const TICK: Duration = Duration::from_millis(20);

    pub fn new(factory: F, clock: C) -> Pools<F, C> {
        let document = RefCell::default();
        Pools { factory, clock, document, shards: RefCell::default(), weight_draws: None }
    }

    /// Limits the loads that this instance orders.
    pub fn with_weight_draws(mut self, draws: WeightDraws) -> Pools<F, C> {
        self.weight_draws = Some(draws);
        self
    }

    /// Reserves a prefill and decode pair. Waits in the queue for up to the admission's
    /// `queue_ms`. Dropping the future leaves the queue.
    pub async fn admit(&self, admission: Admission, lease_deadline: Instant) -> AdmitAnswer {
        match self.shard(&admission.shard) {
            Some(shard) => shard.admit(admission, lease_deadline).await,
            None => AdmitAnswer::NotHolder(None),
        }
    }

    /// Frees an attempt's reservation. If the attempt is the first to report the death of an
    /// endpoint, returns the requests that ran there.
    pub fn finish(&self, shard: &ShardId, finished: FinishedAttempt) -> Vec<RanRequest> {
        let Some(shard) = self.shard(shard) else { return Vec::new() };
        let ran = shard.state.borrow_mut().finish(&finished, self.clock.now());
        shard.pump();
        ran
    }

    /// Takes the complete list of an instance's live attempts. Returns whether this instance holds
    /// the shard.
    pub fn report(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
        shard: &ShardId,
        attempts: Vec<Progress>,
    ) -> bool {
        let Some(shard) = self.shard(shard) else {
            return false;
        };
        let now = self.clock.now();
        let mut state = shard.state.borrow_mut();
        let is_own = |progress: &&Progress| {
            progress.attempt.instance == *instance && progress.attempt.incarnation == incarnation
        };
        for progress in attempts.iter().filter(is_own) {
            state.note_progress(progress, now);
        }
        true
    }

    /// Starts to own a pool. `previous_end` is when the previous owner's lease ended.
    pub fn gain(&self, id: ShardId, fencing: FencingToken, previous_end: Instant) {
        let mut shard = Shard::new(id.clone(), fencing, previous_end, self.clock.clone());
        shard.weight_draws = self.weight_draws.clone();
        let shard = Rc::new(shard);
        shard.set_document(self.document.borrow().clone(), &self.factory);
        if let Some(old) = self.shards.borrow_mut().insert(id, shard) {
            old.lose();
        }
    }

    /// Drops a pool's state; its waiting admissions are answered with `NotHolder`.
    pub fn lose(&self, id: &ShardId) {
        if let Some(shard) = self.shards.borrow_mut().remove(id) {
            shard.lose();
        }
    }

    pub fn set_document(&self, document: Rc<Document>) {
        *self.document.borrow_mut() = document.clone();
        for shard in self.all() {
            shard.set_document(document.clone(), &self.factory);
        }
    }

    /// Sends a fenced order to an endpoint.
    pub async fn order(
        &self,
        shard: &ShardId,
        endpoint: &EndpointId,
        order: Order,
    ) -> Result<(), PoolError> {
        let shard = self.shard(shard).ok_or(PoolError::NotHolder)?;
        shard.order(endpoint, order).await
    }

    /// The ledger's state of each endpoint, in the order of their ids.
    pub fn status(&self, shard: &ShardId) -> Vec<EndpointStatus> {
        let now = self.clock.now();
        self.shard(shard).map(|shard| shard.state.borrow().status(now)).unwrap_or_default()
    }

    /// Does the periodic work. Runs until dropped, on a `LocalSet`. `lease_deadline` returns the
    /// deadline of a held lease.
    pub async fn run(&self, lease_deadline: impl Fn(&ShardId) -> Option<Instant>) {
        loop {
            tokio::time::sleep(Self::TICK).await;
            let shards: Vec<_> = {
                let shards = self.shards.borrow();
                shards.iter().map(|(id, shard)| (id.clone(), shard.clone())).collect()
            };
            for (id, shard) in shards {
                shard.tick(lease_deadline(&id));
            }
        }
    }

    fn shard(&self, id: &ShardId) -> Option<Rc<Shard<F::Engine, C>>> {
        self.shards.borrow().get(id).cloned()
    }

    fn all(&self) -> Vec<Rc<Shard<F::Engine, C>>> {
        self.shards.borrow().values().cloned().collect()
    }
}
