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
use super::organisation_allowance::OrganisationAllowance;
use crate::clock::{Clock, Instant};
use crate::config::Rate;
use crate::units::{Incarnation, InstanceId, OrganisationId, Tokens};

/// Token allowances of this instance, one for each organisation that uses it.
pub struct Allowances<C: Clock, D: DrawClient> {
    inner: Rc<Inner<C, D>>,
}

struct Inner<C: Clock, D: DrawClient> {
    clock: C,
    client: D,
    instance: InstanceId,
    incarnation: Incarnation,
    bursts: RefCell<BTreeMap<OrganisationId, Tokens>>,
    entries: RefCell<BTreeMap<OrganisationId, Rc<OrganisationAllowance>>>,
    /// First sequence number of a new entry. It is greater than those of all dropped entries by
    /// more than one, so that the holder does not take the first draw of a new entry for a repeat
    /// or the successor of an old draw.
    first_sequence: Cell<u64>,
    is_returning: Cell<bool>,
}

impl<C: Clock, D: DrawClient> Allowances<C, D> {
    const RETURN_TIMEOUT_MS: u64 = 1_000;
    const RETURN_POLL_MS: u64 = 5;

    pub fn new(clock: C, client: D, instance: InstanceId, incarnation: Incarnation) -> Self {
        let inner = Inner {
            clock,
            client,
            instance,
            incarnation,
            bursts: RefCell::default(),
            entries: RefCell::default(),
            first_sequence: Cell::new(0),
            is_returning: Cell::new(false),
        };
        Allowances { inner: Rc::new(inner) }
    }

    /// Sets the bursts, used to reject requests that are larger than the burst.
    pub fn set_rates(&self, rates: &BTreeMap<OrganisationId, Rate>) {
        let bursts = rates.iter().map(|(id, rate)| (id.clone(), rate.burst_tokens));
        *self.inner.bursts.borrow_mut() = bursts.collect();
    }

    /// Charges an upper bound of the tokens of a request. If this instance is short of tokens,
    /// waits for a draw until `deadline`.
    pub async fn charge(
        &self,
        organisation: &OrganisationId,
        tokens: Tokens,
        deadline: Instant,
    ) -> Result<Charge, BudgetError> {
        self.charge_with_holder_deadline(organisation, tokens, (deadline, deadline)).await
    }

    /// Like `charge`, but waits until the second deadline if draws failed during the wait, because
    /// it is then unknown whether the organisation is within its rate.
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
        let entry = self.inner.entry(organisation);
        let now = self.inner.clock.now();
        if let Some(charge) = entry.try_charge(tokens, now) {
            return Ok(charge);
        }
        counter!("budget_charges_that_waited").increment(1);
        let mut receiver = entry.enqueue(tokens);
        if let Ok(Ok(result)) = timeout(deadline.remaining(now), &mut receiver).await {
            return result;
        }
        if entry.allowance.borrow().failed_at >= now {
            let rest = holder_deadline.remaining(self.inner.clock.now());
            if let Ok(Ok(result)) = timeout(rest, &mut receiver).await {
                return result;
            }
        }
        drop(receiver);
        entry.serve_waiters(self.inner.clock.now());
        counter!("budget_charges_refused").increment(1);
        Err(entry.refusal_reason())
    }

    /// Returns all unspent tokens to the holders before a planned stop, and stops prefetching
    /// tokens.
    pub async fn return_all(&self) {
        self.inner.is_returning.set(true);
        let deadline = self.inner.clock.now().plus_ms(Self::RETURN_TIMEOUT_MS);
        for entry in self.inner.entries.borrow().values() {
            entry.allowance.borrow_mut().is_returning = true;
            entry.changed.notify_one();
        }
        while !self.inner.is_settled() && self.inner.clock.now() < deadline {
            tokio::time::sleep(Duration::from_millis(Self::RETURN_POLL_MS)).await;
        }
    }

    /// Number of organisations with state in memory.
    pub fn organisation_count(&self) -> usize {
        self.inner.entries.borrow().len()
    }
}

impl<C: Clock, D: DrawClient> Inner<C, D> {
    const CALL_TIMEOUT: Duration = Duration::from_millis(500);

    fn is_settled(&self) -> bool {
        self.entries.borrow().values().all(|entry| entry.allowance.borrow().is_settled())
    }

    fn entry(self: &Rc<Self>, organisation: &OrganisationId) -> Rc<OrganisationAllowance> {
        if let Some(entry) = self.entries.borrow().get(organisation) {
            return entry.clone();
        }
        let mut allowance = Allowance::new(self.first_sequence.get(), self.clock.now());
        allowance.is_returning = self.is_returning.get();
        let entry = Rc::new(OrganisationAllowance::new(organisation.clone(), allowance));
        self.entries.borrow_mut().insert(organisation.clone(), entry.clone());
        tokio::task::spawn_local(self.clone().draw_loop(entry.clone()));
        entry
    }

    /// Sends the draws of one organisation, one at a time, until it is idle.
    async fn draw_loop(self: Rc<Self>, entry: Rc<OrganisationAllowance>) {
        loop {
            let now = self.clock.now();
            // The map and this task hold one reference each; all others belong to charges.
            let is_unused = Rc::strong_count(&entry) <= 2;
            if is_unused && entry.allowance.borrow().is_abandoned(now) {
                break;
            }
            let step = entry.allowance.borrow_mut().next_step(now);
            match step {
                Step::Draw => self.draw(&entry).await,
                Step::WaitUntil(at) => {
                    let _ = timeout(at.remaining(now), entry.changed.notified()).await;
                }
                Step::Idle if is_unused => break,
                Step::Idle => entry.changed.notified().await,
            }
        }
        let sequence = entry.allowance.borrow().sequence();
        self.first_sequence.set(self.first_sequence.get().max(sequence + 1));
        self.entries.borrow_mut().remove(&entry.organisation);
    }

    async fn draw(&self, entry: &Rc<OrganisationAllowance>) {
        let sent_at = self.clock.now();
        let sender = (&self.instance, self.incarnation);
        let request = entry.allowance.borrow_mut().request(&entry.organisation, sender, sent_at);
        let answer = self.send_draw(&request).await;
        let now = self.clock.now();
        match answer {
            Ok(answer) => {
                entry.allowance.borrow_mut().apply(&answer, sent_at, now);
                if answer == DrawAnswer::UnknownOrganisation {
                    entry.refuse_waiters(BudgetError::UnknownOrganisation);
                }
                entry.serve_waiters(now);
            }
            Err(error) => {
                debug!(target: "budget", "draw for {} failed: {error}", entry.organisation);
                entry.allowance.borrow_mut().record_failure(now);
            }
        }
    }

    async fn send_draw(&self, request: &DrawRequest) -> Result<DrawAnswer, DrawError> {
        let answer = timeout(Self::CALL_TIMEOUT, self.client.draw(request)).await;
        answer.unwrap_or(Err(DrawError::TimedOut))
    }
}
