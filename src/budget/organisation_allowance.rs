use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::allowance::Allowance;
use super::budget_error::BudgetError;
use super::charge::Charge;
use super::spend_report::ChargePortion;
use crate::clock::Instant;
use crate::units::{OrganisationId, Tokens};

/// A charge that waits for tokens.
pub(super) struct Waiter {
    pub tokens: Tokens,
    pub answer: oneshot::Sender<Result<Charge, BudgetError>>,
}

/// An organisation's allowance, and the signal that wakes its draw task.
pub(super) struct OrganisationAllowance {
    pub organisation: OrganisationId,
    pub allowance: RefCell<Allowance>,
    pub changed: Notify,
}

impl OrganisationAllowance {
    pub fn new(organisation: OrganisationId, allowance: Allowance) -> OrganisationAllowance {
        let allowance = RefCell::new(allowance);
        OrganisationAllowance { organisation, allowance, changed: Notify::new() }
    }

    /// Charges immediately if no request is waiting and there are enough tokens.
    pub fn try_charge(self: &Rc<Self>, tokens: Tokens, now: Instant) -> Option<Charge> {
        let mut allowance = self.allowance.borrow_mut();
        allowance.record_demand(tokens, now);
        allowance.waiters.retain(|waiter| !waiter.answer.is_closed());
        if !allowance.waiters.is_empty() {
            return None;
        }
        let portions = allowance.take(tokens, now)?;
        self.changed.notify_one();
        Some(Charge::new(self.clone(), portions))
    }

    pub fn enqueue(&self, tokens: Tokens) -> oneshot::Receiver<Result<Charge, BudgetError>> {
        let (answer, receiver) = oneshot::channel();
        self.allowance.borrow_mut().waiters.push_back(Waiter { tokens, answer });
        self.changed.notify_one();
        receiver
    }

    /// Serves waiting charges in order of arrival while tokens last.
    pub fn serve_waiters(self: &Rc<Self>, now: Instant) {
        while let Some((waiter, portions)) = self.next_served_waiter(now) {
            // If the receiver is gone, the charge is dropped and thereby refunded.
            let _ = waiter.answer.send(Ok(Charge::new(self.clone(), portions)));
        }
    }

    fn next_served_waiter(&self, now: Instant) -> Option<(Waiter, Vec<ChargePortion>)> {
        let mut allowance = self.allowance.borrow_mut();
        allowance.waiters.retain(|waiter| !waiter.answer.is_closed());
        let tokens = allowance.waiters.front()?.tokens;
        let portions = allowance.take(tokens, now)?;
        allowance.waiters.pop_front().map(|waiter| (waiter, portions))
    }

    pub fn refuse_waiters(&self, error: BudgetError) {
        let waiters = std::mem::take(&mut self.allowance.borrow_mut().waiters);
        for waiter in waiters {
            let _ = waiter.answer.send(Err(error));
        }
    }

    pub fn refund(&self, portions: Vec<ChargePortion>, unused: Tokens) {
        self.allowance.borrow_mut().refund(portions, unused);
        self.changed.notify_one();
    }

    /// Reason for refusing a charge at its deadline.
    pub fn refusal_reason(&self) -> BudgetError {
        let allowance = self.allowance.borrow();
        if allowance.is_failing {
            return BudgetError::Unreachable;
        }
        BudgetError::Exhausted { retry_after_ms: allowance.retry_after_ms.max(1) }
    }
}

impl fmt::Debug for OrganisationAllowance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OrganisationAllowance({})", self.organisation)
    }
}
