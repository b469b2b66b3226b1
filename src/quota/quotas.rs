use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::catalog::Customer;
use crate::clock::Instant;
use crate::hash::stable_hash;
use crate::quota::{PeerTotals, SlidingWindow};
use crate::units::{OrganisationId, Tokens};

/// Tokens that an instance has spent for an organisation since it started, as reported to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    pub organisation_key: u32,
    pub tokens: u64,
}

/// Rejection of a request that exceeds the organisation's token rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuota {
    /// Time until the request would fit if nothing else is admitted.
    pub retry_after_ms: u64,
}

/// Token windows of all organisations with a rate limit.
#[derive(Debug)]
pub struct Quotas {
    window_ms: u64,
    /// Windows by organisation, with the organisation's key in reports to peers.
    windows: HashMap<OrganisationId, (u32, SlidingWindow)>,
    /// Organisations by their key in reports.
    organisations: HashMap<u32, OrganisationId>,
    peer_totals: PeerTotals,
    /// Whether other instances may have spent tokens before this one started.
    is_history_unknown: bool,
    /// Fraction of each limit that this instance may use; the rest is left to unreachable
    /// instances.
    limit_share: f64,
}

impl Quotas {
    pub fn new(window_ms: u64, is_history_unknown: bool) -> Quotas {
        Quotas {
            window_ms,
            windows: HashMap::new(),
            organisations: HashMap::new(),
            peer_totals: PeerTotals::default(),
            is_history_unknown,
            limit_share: 1.0,
        }
    }

    pub fn set_limit_share(&mut self, limit_share: f64) {
        self.limit_share = limit_share;
    }

    /// Applies the limits of a configuration. Windows of known organisations keep their usage.
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
                    if self.is_history_unknown {
                        window.assume_fully_spent(now);
                    }
                    (key, window)
                }
            };
            windows.insert(customer.organisation.clone(), entry);
        }
        let keys = windows.iter().map(|(organisation, (key, _))| (*key, organisation.clone()));
        self.organisations = keys.collect();
        self.windows = windows;
    }

    /// Spends tokens of an organisation. Organisations without a limit are always admitted.
    pub fn try_acquire(
        &mut self,
        organisation: &OrganisationId,
        tokens: Tokens,
        now: Instant,
    ) -> Result<(), OverQuota> {
        let report_age_ms = self.peer_totals.mean_age_ms(now);
        let Some((_, window)) = self.windows.get_mut(organisation) else { return Ok(()) };
        window
            .try_acquire(tokens, now, self.limit_share, report_age_ms)
            .map_err(|retry_after_ms| OverQuota { retry_after_ms })
    }

    /// Returns the tokens of a request that certainly did not run.
    pub fn refund(&mut self, organisation: &OrganisationId, tokens: Tokens, charged_at: Instant) {
        if let Some((_, window)) = self.windows.get_mut(organisation) {
            window.refund(tokens, charged_at);
        }
    }

    /// Whether an organisation is so close to its limit that instances should report their usage to
    /// each other without delay.
    pub fn is_any_near_limit(&mut self, now: Instant) -> bool {
        let (limit_share, report_age_ms) = (self.limit_share, self.peer_totals.mean_age_ms(now));
        let mut windows = self.windows.values_mut();
        windows.any(|(_, window)| window.is_near_limit(now, limit_share, report_age_ms))
    }

    /// Usage of this instance, as reported to peers.
    pub fn local_spent(&self) -> Vec<TokenUsage> {
        let spent = self.windows.values().filter(|(_, window)| window.local_spent() > 0);
        spent
            .map(|(key, window)| TokenUsage {
                organisation_key: *key,
                tokens: window.local_spent(),
            })
            .collect()
    }

    /// Expects no further reports of a peer.
    pub fn remove_peer(&mut self, peer: IpAddr) {
        self.peer_totals.end_reports(peer);
    }

    /// Applies a peer's report. `is_new_run` tells whether the peer started after this instance.
    pub fn record_peer_report(
        &mut self,
        peer: (IpAddr, u64),
        spent: &[TokenUsage],
        is_new_run: bool,
        now: Instant,
    ) {
        for change in self.peer_totals.record(peer, spent, is_new_run, now) {
            let organisation = self.organisations.get(&change.organisation_key);
            let window = organisation.and_then(|organisation| self.windows.get_mut(organisation));
            if let Some((_, window)) = window {
                window.add_peer_usage(change.tokens, now);
            }
        }
    }
}
