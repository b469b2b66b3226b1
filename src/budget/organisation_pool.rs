use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::allowance::Allowance;
use super::budget_error::BudgetError;
use super::charge::Charge;
use super::report::Part;
use crate::clock::Instant;
use crate::units::{OrganisationId, Tokens};

/// A request that waits for tokens.
pub(super) struct Waiter {
    pub tokens: Tokens,
    pub answer: oneshot::Sender<Result<Charge, BudgetError>>,
}

/// An organisation's allowance with the signal for the task that draws for it.
pub(super) struct OrganisationPool {
    pub organisation: OrganisationId,
    pub allowance: RefCell<Allowance>,
    pub changed: Notify,
}

impl OrganisationPool {
    pub fn new(organisation: OrganisationId, allowance: Allowance) -> OrganisationPool {
        let allowance = RefCell::new(allowance);
        OrganisationPool { organisation, allowance, changed: Notify::new() }
    }

    /// Spends at once if nobody waits and there are enough tokens.
    pub fn spend(self: &Rc<Self>, tokens: Tokens, now: Instant) -> Option<Charge> {
        let mut allowance = self.allowance.borrow_mut();
        allowance.note_demand(tokens, now);
        allowance.waiters.retain(|waiter| !waiter.answer.is_closed());
        if !allowance.waiters.is_empty() {
            return None;
        }
        let parts = allowance.take(tokens, now)?;
        self.changed.notify_one();
        Some(Charge::new(self.clone(), parts))
    }

    pub fn wait(&self, tokens: Tokens) -> oneshot::Receiver<Result<Charge, BudgetError>> {
        let (answer, receiver) = oneshot::channel();
        self.allowance.borrow_mut().waiters.push_back(Waiter { tokens, answer });
        self.changed.notify_one();
        receiver
    }

    /// Serves waiting requests in order of arrival while the tokens last.
    pub fn serve(self: &Rc<Self>, now: Instant) {
        while let Some((waiter, parts)) = self.next_served(now) {
            // A request that was given up in the meantime drops its charge, which refunds it.
            let _ = waiter.answer.send(Ok(Charge::new(self.clone(), parts)));
        }
    }

    fn next_served(&self, now: Instant) -> Option<(Waiter, Vec<Part>)> {
        let mut allowance = self.allowance.borrow_mut();
        allowance.waiters.retain(|waiter| !waiter.answer.is_closed());
        let tokens = allowance.waiters.front()?.tokens;
        let parts = allowance.take(tokens, now)?;
        allowance.waiters.pop_front().map(|waiter| (waiter, parts))
    }

    pub fn refuse_all(&self, error: BudgetError) {
        let waiters = std::mem::take(&mut self.allowance.borrow_mut().waiters);
        for waiter in waiters {
            let _ = waiter.answer.send(Err(error));
        }
    }

    pub fn refund(&self, parts: Vec<Part>, unused: Tokens) {
        self.allowance.borrow_mut().refund(parts, unused);
        self.changed.notify_one();
    }

    /// Reason for a refusal at the deadline.
    pub fn refusal(&self) -> BudgetError {
        let allowance = self.allowance.borrow();
        if allowance.is_failing {
            return BudgetError::Unreachable;
        }
        BudgetError::Exhausted { retry_after_ms: allowance.retry_after_ms.max(1) }
    }
}

impl fmt::Debug for OrganisationPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OrganisationPool({})", self.organisation)
    }
}
