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
    WeightLoadLimiter,
};
use crate::suspect::InterruptedRequest;
use crate::units::{EndpointId, FencingToken, Incarnation, InstanceId, ShardId};

type Shards<F, C> = HashMap<ShardId, Rc<Shard<<F as EngineFactory>::Engine, C>>>;

/// The pools that this instance owns.
pub struct Pools<F: EngineFactory, C: Clock> {
    factory: F,
    clock: C,
    document: RefCell<Rc<Document>>,
    shards: RefCell<Shards<F, C>>,
    load_limiter: Option<WeightLoadLimiter>,
}

impl<F: EngineFactory, C: Clock> Pools<F, C> {
    /// A prefill endpoint's queue advances without an event, so queued admissions are retried at
    /// this interval.
    const TICK: Duration = Duration::from_millis(20);

    pub fn new(factory: F, clock: C) -> Pools<F, C> {
        let document = RefCell::default();
        Pools { factory, clock, document, shards: RefCell::default(), load_limiter: None }
    }

    /// Limits the rate at which engines load weights on this instance's orders.
    pub fn with_weight_load_limiter(mut self, limiter: WeightLoadLimiter) -> Pools<F, C> {
        self.load_limiter = Some(limiter);
        self
    }

    /// Reserves a prefill and a decode endpoint. Waits in the queue for up to the admission's
    /// `queue_ms`. Dropping the future removes the admission from the queue.
    pub async fn admit(&self, admission: Admission, lease_deadline: Instant) -> AdmitAnswer {
        match self.shard(&admission.shard) {
            Some(shard) => shard.admit(admission, lease_deadline).await,
            None => AdmitAnswer::NotHolder(None),
        }
    }

    /// Releases an attempt's reservation. If the attempt is the first to report a crash of an
    /// endpoint, returns the requests that were running there.
    pub fn finish(&self, shard: &ShardId, finished: FinishedAttempt) -> Vec<InterruptedRequest> {
        let Some(shard) = self.shard(shard) else { return Vec::new() };
        let ran = shard.state.borrow_mut().finish(&finished, self.clock.now());
        shard.admit_queued();
        ran
    }

    /// Processes the complete list of an instance's live attempts. Returns whether this instance
    /// holds the shard.
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
            state.record_progress(progress, now);
        }
        true
    }

    /// Starts owning a pool. `previous_end` is when the previous owner's lease ended.
    pub fn gain(&self, id: ShardId, fencing: FencingToken, previous_end: Instant) {
        let mut shard = Shard::new(id.clone(), fencing, previous_end, self.clock.clone());
        shard.load_limiter = self.load_limiter.clone();
        let shard = Rc::new(shard);
        shard.set_document(self.document.borrow().clone(), &self.factory);
        if let Some(old) = self.shards.borrow_mut().insert(id, shard) {
            old.lose();
        }
    }

    /// Drops a pool's state and answers its queued admissions with `NotHolder`.
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

    /// Sends an order with this owner's fencing number to an endpoint.
    pub async fn order(
        &self,
        shard: &ShardId,
        endpoint: &EndpointId,
        order: Order,
    ) -> Result<(), PoolError> {
        let shard = self.shard(shard).ok_or(PoolError::NotHolder)?;
        shard.order(endpoint, order).await
    }

    /// Returns the status of each endpoint, sorted by id.
    pub fn status(&self, shard: &ShardId) -> Vec<EndpointStatus> {
        let now = self.clock.now();
        self.shard(shard).map(|shard| shard.state.borrow().status(now)).unwrap_or_default()
    }

    /// Runs the periodic work until dropped. Must run on a `LocalSet`. `lease_deadline` returns the
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
