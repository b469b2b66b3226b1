use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::catalog::Customer;
use crate::clock::Instant;
use crate::hash::stable_hash;
use crate::quota::SlidingWindow;
use crate::units::{OrganisationId, Tokens};

/// What an instance tells of an organisation's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    pub organisation_key: u32,
    pub tokens: u64,
}

/// The organisation's rate is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuota {
    /// Time until the request would fit, if nothing else is admitted.
    pub retry_after_ms: u64,
}

/// The spending of all organisations with a limit.
#[derive(Debug)]
pub struct Quotas {
    window_ms: u64,
    windows: HashMap<OrganisationId, (u32, SlidingWindow)>,
    /// Whether other instances may have spent tokens before this one started.
    is_past_unknown: bool,
    /// Part of each limit that is not left to instances that cannot be heard.
    share: f64,
}

impl Quotas {
    pub fn new(window_ms: u64, is_past_unknown: bool) -> Quotas {
        Quotas { window_ms, windows: HashMap::new(), is_past_unknown, share: 1.0 }
    }

    pub fn set_limit_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Takes over the limits of a configuration.
    pub fn set_customers(&mut self, customers: &[Rc<Customer>], now: Instant) {
        let mut windows = HashMap::new();
        for customer in customers {
            let Some(rate) = customer.rate else { continue };
            let entry = match self.windows.remove(&customer.organisation) {
                Some((key, mut window)) => {
                    window.set_limits(rate, customer.burst);
                    (key, window)
                }
                None => {
                    let key = stable_hash(customer.organisation.as_str()) as u32;
                    let mut window = SlidingWindow::new(self.window_ms, rate, customer.burst, now);
                    if self.is_past_unknown {
                        window.assume_fully_spent(now);
                    }
                    (key, window)
                }
            };
            windows.insert(customer.organisation.clone(), entry);
        }
        self.windows = windows;
    }

    pub fn try_acquire(
        &mut self,
        organisation: &OrganisationId,
        tokens: Tokens,
        now: Instant,
    ) -> Result<(), OverQuota> {
        let Some((_, window)) = self.windows.get_mut(organisation) else { return Ok(()) };
        window
            .try_acquire(tokens, now, self.share)
            .map_err(|retry_after_ms| OverQuota { retry_after_ms })
    }

    /// Gives back the tokens of a request that certainly did not run.
    pub fn refund(&mut self, organisation: &OrganisationId, tokens: Tokens, now: Instant) {
        if let Some((_, window)) = self.windows.get_mut(organisation) {
            window.refund(tokens, now);
        }
    }

    /// Whether an organisation is so near its limit that instances should tell each other at once
    /// what they admit.
    pub fn is_any_near_limit(&mut self, now: Instant) -> bool {
        let share = self.share;
        self.windows.values_mut().any(|(_, window)| window.is_near_limit(now, share))
    }

    pub fn local_spent(&self) -> Vec<TokenUsage> {
        let spent = self.windows.values().filter(|(_, window)| window.local_spent() > 0);
        spent
            .map(|(key, window)| TokenUsage {
                organisation_key: *key,
                tokens: window.local_spent(),
            })
            .collect()
    }

    /// Takes over a peer's report. `is_new_run`: the peer's run began while this instance ran.
    pub fn record_peer_report(
        &mut self,
        peer: (IpAddr, u64),
        spent: &[TokenUsage],
        is_new_run: bool,
        now: Instant,
    ) {
        for (key, window) in self.windows.values_mut() {
            // An organisation that is not named has spent nothing there.
            let told = spent.iter().find(|told| told.organisation_key == *key);
            window.record_peer_report(peer, told.map_or(0, |told| told.tokens), is_new_run, now);
        }
    }
}
