use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::organisation_allowance::OrganisationAllowance;
use super::spend_report::ChargePortion;
use crate::units::Tokens;

/// Tokens charged for one request. Dropping it refunds everything beyond the last recorded usage.
#[derive(Debug)]
pub struct Charge {
    source: Rc<OrganisationAllowance>,
    portions: RefCell<Vec<ChargePortion>>,
    used: Cell<Tokens>,
}

impl Charge {
    pub(super) fn new(source: Rc<OrganisationAllowance>, portions: Vec<ChargePortion>) -> Charge {
        Charge { source, portions: RefCell::new(portions), used: Cell::new(Tokens(0)) }
    }

    pub fn charged_tokens(&self) -> Tokens {
        self.portions.borrow().iter().map(|portion| portion.tokens).sum()
    }

    /// Refunds tokens charged beyond `bound` while the request is still running, newest grants
    /// first.
    pub fn lower_to(&self, bound: Tokens) {
        let unused = self.charged_tokens() - bound;
        let mut rest = unused;
        let mut refunded = Vec::new();
        for portion in self.portions.borrow_mut().iter_mut().rev() {
            let tokens = portion.tokens.min(rest);
            if tokens == Tokens(0) {
                break;
            }
            portion.tokens -= tokens;
            rest -= tokens;
            refunded.push(ChargePortion { tokens, ..portion.clone() });
        }
        refunded.reverse();
        if unused > Tokens(0) {
            self.source.refund(refunded, unused);
        }
    }

    /// Sets the tokens used so far: the prompt and the output tokens.
    pub fn set_used(&self, used: Tokens) {
        self.used.set(used);
    }

    /// Ends the charge and refunds tokens charged beyond `used`.
    pub fn settle(self, used: Tokens) {
        self.set_used(used);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let unused = self.charged_tokens() - self.used.get();
        self.source.refund(self.portions.take(), unused);
    }
}
