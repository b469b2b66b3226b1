use std::cell::Cell;
use std::rc::Rc;

use super::organisation_pool::OrganisationPool;
use super::report::Part;
use crate::units::Tokens;

/// Tokens charged for one request. Settled by what the request used; dropping it settles it with
/// what was noted last.
#[derive(Debug)]
pub struct Charge {
    pool: Rc<OrganisationPool>,
    parts: Vec<Part>,
    used: Cell<Tokens>,
}

impl Charge {
    pub(super) fn new(pool: Rc<OrganisationPool>, parts: Vec<Part>) -> Charge {
        Charge { pool, parts, used: Cell::new(Tokens(0)) }
    }

    pub fn charged_tokens(&self) -> Tokens {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Notes what the request has used so far: its prompt, and each output token.
    pub fn note_used(&self, used: Tokens) {
        self.used.set(used);
    }

    /// Refunds what was charged beyond `used`.
    pub fn settle(self, used: Tokens) {
        self.note_used(used);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let unused = self.charged_tokens() - self.used.get();
        self.pool.refund(std::mem::take(&mut self.parts), unused);
    }
}
