use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use metrics::counter;
use tokio::time::timeout;

use super::allowance::{Allowance, Step};
use super::budget_error::BudgetError;
use super::charge::Charge;
use super::draw::{DrawAnswer, DrawRequest};
use super::draw_client::{DrawClient, DrawError};
use super::organisation_pool::OrganisationPool;
use crate::clock::{Clock, Instant};
use crate::config::Rate;
use crate::units::{Incarnation, InstanceId, OrganisationId, Tokens};

/// Tokens that this instance may spend, for all organisations that use it.
pub struct Allowances<C: Clock, D: DrawClient> {
    inner: Rc<Inner<C, D>>,
}

struct Inner<C: Clock, D: DrawClient> {
    clock: C,
    calls: D,
    instance: InstanceId,
    incarnation: Incarnation,
    bursts: RefCell<BTreeMap<OrganisationId, Tokens>>,
    pools: RefCell<BTreeMap<OrganisationId, Rc<OrganisationPool>>>,
    /// Above the numbers of all dropped pools, with a gap, so that the holder does not take a new
    /// pool's first draw for the repeat or the successor of an old one.
    first_sequence: Cell<u64>,
    is_returning: Cell<bool>,
}

impl<C: Clock, D: DrawClient> Allowances<C, D> {
    const RETURN_TIMEOUT_MS: u64 = 1_000;
    const RETURN_POLL_MS: u64 = 5;

    pub fn new(clock: C, calls: D, instance: InstanceId, incarnation: Incarnation) -> Self {
        let inner = Inner {
            clock,
            calls,
            instance,
            incarnation,
            bursts: RefCell::default(),
            pools: RefCell::default(),
            first_sequence: Cell::new(0),
            is_returning: Cell::new(false),
        };
        Allowances { inner: Rc::new(inner) }
    }

    /// Bursts in force, to refuse requests that can never be served.
    pub fn set_rates(&self, rates: &BTreeMap<OrganisationId, Rate>) {
        let bursts = rates.iter().map(|(id, rate)| (id.clone(), rate.burst_tokens));
        *self.inner.bursts.borrow_mut() = bursts.collect();
    }

    /// Charges an upper bound of a request's tokens. Waits for a draw if this instance is short.
    pub async fn charge(
        &self,
        organisation: &OrganisationId,
        tokens: Tokens,
        deadline: Instant,
    ) -> Result<Charge, BudgetError> {
        self.charge_with_holder_deadline(organisation, tokens, (deadline, deadline)).await
    }

    /// The same, but waits until the second deadline if the holder was missing during the wait:
    /// nobody knows then whether the organisation is within its rate.
    pub async fn charge_with_holder_deadline(
        &self,
        organisation: &OrganisationId,
        tokens: Tokens,
        (deadline, holder_deadline): (Instant, Instant),
    ) -> Result<Charge, BudgetError> {
        let burst = self.inner.bursts.borrow().get(organisation).copied();
        if burst.is_some_and(|burst| tokens > burst) {
            return Err(BudgetError::LargerThanBurst);
        }
        let pool = self.inner.pool(organisation);
        let now = self.inner.clock.now();
        if let Some(charge) = pool.spend(tokens, now) {
            return Ok(charge);
        }
        counter!("budget_charges_that_waited").increment(1);
        let mut receiver = pool.wait(tokens);
        if let Ok(Ok(result)) = timeout(deadline.remaining(now), &mut receiver).await {
            return result;
        }
        if pool.allowance.borrow().failed_at >= now {
            let rest = holder_deadline.remaining(self.inner.clock.now());
            if let Ok(Ok(result)) = timeout(rest, &mut receiver).await {
                return result;
            }
        }
        drop(receiver);
        pool.serve(self.inner.clock.now());
        counter!("budget_charges_refused").increment(1);
        Err(pool.refusal())
    }

    /// Returns unspent tokens before a planned stop, and draws none ahead of demand from now on.
    pub async fn return_all(&self) {
        self.inner.is_returning.set(true);
        let deadline = self.inner.clock.now().plus_ms(Self::RETURN_TIMEOUT_MS);
        for pool in self.inner.pools.borrow().values() {
            pool.allowance.borrow_mut().is_returning = true;
            pool.changed.notify_one();
        }
        while !self.inner.is_settled() && self.inner.clock.now() < deadline {
            tokio::time::sleep(Duration::from_millis(Self::RETURN_POLL_MS)).await;
        }
    }

    /// Organisations that this instance keeps state for.
    pub fn organisation_count(&self) -> usize {
        self.inner.pools.borrow().len()
    }
}

impl<C: Clock, D: DrawClient> Inner<C, D> {
    const CALL_TIMEOUT: Duration = Duration::from_millis(500);

    fn is_settled(&self) -> bool {
        self.pools.borrow().values().all(|pool| pool.allowance.borrow().is_settled())
    }

    fn pool(self: &Rc<Self>, organisation: &OrganisationId) -> Rc<OrganisationPool> {
        if let Some(pool) = self.pools.borrow().get(organisation) {
            return pool.clone();
        }
        let mut allowance = Allowance::new(self.first_sequence.get(), self.clock.now());
        allowance.is_returning = self.is_returning.get();
        let pool = Rc::new(OrganisationPool::new(organisation.clone(), allowance));
        self.pools.borrow_mut().insert(organisation.clone(), pool.clone());
        tokio::task::spawn_local(self.clone().draw_for(pool.clone()));
        pool
    }

    /// Draws for one organisation, one draw at a time, until it is idle.
    async fn draw_for(self: Rc<Self>, pool: Rc<OrganisationPool>) {
        loop {
            let now = self.clock.now();
            // The map and this task hold the pool; any other reference is a charge.
            let is_unused = Rc::strong_count(&pool) <= 2;
            if is_unused && pool.allowance.borrow().is_abandoned(now) {
                break;
            }
            let step = pool.allowance.borrow_mut().next_step(now);
            match step {
                Step::Draw => self.draw(&pool).await,
                Step::WaitUntil(at) => {
                    let _ = timeout(at.remaining(now), pool.changed.notified()).await;
                }
                Step::Idle if is_unused => break,
                Step::Idle => pool.changed.notified().await,
            }
        }
        let sequence = pool.allowance.borrow().sequence();
        self.first_sequence.set(self.first_sequence.get().max(sequence + 1));
        self.pools.borrow_mut().remove(&pool.organisation);
    }

    async fn draw(&self, pool: &Rc<OrganisationPool>) {
        let sent_at = self.clock.now();
        let sender = (&self.instance, self.incarnation);
        let request = pool.allowance.borrow_mut().request(&pool.organisation, sender, sent_at);
        let answer = self.call(&request).await;
        let now = self.clock.now();
        match answer {
            Ok(answer) => {
                pool.allowance.borrow_mut().apply(&answer, sent_at, now);
                if answer == DrawAnswer::UnknownOrganisation {
                    pool.refuse_all(BudgetError::UnknownOrganisation);
                }
                pool.serve(now);
            }
            Err(error) => {
                debug!(target: "budget", "draw for {}: {error}", pool.organisation);
                pool.allowance.borrow_mut().note_failure(now);
            }
        }
    }

    async fn call(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError> {
        let answer = timeout(Self::CALL_TIMEOUT, self.calls.draw(request)).await;
        answer.unwrap_or(Err(DrawError::TimedOut))
    }
}
