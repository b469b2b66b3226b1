use std::cell::Cell;

/// Retries earned by each thousand requests.
const RETRIES_PER_1000_REQUESTS: u64 = 100;
/// Maximum accumulated retries, which is also the initial credit, so that a small instance can
/// retry at all.
const MAX_RETRY_CREDIT: u64 = 20;

/// Limits retries to a share of the requests, so that they do not amplify an overload.
#[derive(Debug)]
pub struct RetryBudget {
    credit_permille: Cell<u64>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { credit_permille: Cell::new(MAX_RETRY_CREDIT * 1000) }
    }
}

impl RetryBudget {
    pub fn record_request(&self) {
        let credit = self.credit_permille.get() + RETRIES_PER_1000_REQUESTS;
        self.credit_permille.set(credit.min(MAX_RETRY_CREDIT * 1000));
    }

    pub fn try_take_retry(&self) -> bool {
        let credit = self.credit_permille.get();
        if credit < 1000 {
            return false;
        }
        self.credit_permille.set(credit - 1000);
        true
    }
}
