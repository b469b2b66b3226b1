use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::organisation_pool::OrganisationPool;
use super::report::Part;
use crate::units::Tokens;

/// Tokens charged for one request. Settled by what the request used; dropping it settles it with
/// what was noted last.
#[derive(Debug)]
pub struct Charge {
    pool: Rc<OrganisationPool>,
    parts: RefCell<Vec<Part>>,
    used: Cell<Tokens>,
}

impl Charge {
    pub(super) fn new(pool: Rc<OrganisationPool>, parts: Vec<Part>) -> Charge {
        Charge { pool, parts: RefCell::new(parts), used: Cell::new(Tokens(0)) }
    }

    pub fn charged_tokens(&self) -> Tokens {
        self.parts.borrow().iter().map(|part| part.tokens).sum()
    }

    /// Refunds what was charged beyond `bound` while the request goes on, from its newest grants
    /// first.
    pub fn lower_to(&self, bound: Tokens) {
        let unused = self.charged_tokens() - bound;
        let mut rest = unused;
        let mut refunded = Vec::new();
        for part in self.parts.borrow_mut().iter_mut().rev() {
            let tokens = part.tokens.min(rest);
            if tokens == Tokens(0) {
                break;
            }
            part.tokens -= tokens;
            rest -= tokens;
            refunded.push(Part { tokens, ..part.clone() });
        }
        refunded.reverse();
        if unused > Tokens(0) {
            self.pool.refund(refunded, unused);
        }
    }

    /// Notes what the request has used so far: its prompt, and each output token.
    pub fn set_used(&self, used: Tokens) {
        self.used.set(used);
    }

    /// Refunds what was charged beyond `used`.
    pub fn settle(self, used: Tokens) {
        self.set_used(used);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let unused = self.charged_tokens() - self.used.get();
        self.pool.refund(self.parts.take(), unused);
    }
}
