use std::cell::Cell;

/// Share of requests that may be retried, in retries for each thousand requests.
const RETRIES_PER_THOUSAND: u64 = 100;
/// Retries that may be saved up, so that a small instance can retry at all.
const MAX_SAVED_RETRIES: u64 = 20;

/// Limits retries to a share of the requests, so that they never multiply under overload.
#[derive(Debug)]
pub struct RetryBudget {
    saved_permille: Cell<u64>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved_permille: Cell::new(MAX_SAVED_RETRIES * 1000) }
    }
}

impl RetryBudget {
    pub fn record_request(&self) {
        let saved = self.saved_permille.get() + RETRIES_PER_THOUSAND;
        self.saved_permille.set(saved.min(MAX_SAVED_RETRIES * 1000));
    }

    pub fn try_take_retry(&self) -> bool {
        let saved = self.saved_permille.get();
        if saved < 1000 {
            return false;
        }
        self.saved_permille.set(saved - 1000);
        true
    }
}
