use std::collections::HashMap;
use std::net::IpAddr;

use crate::clock::Instant;
use crate::quota::TokenUsage;

/// Totals that peers have reported to have spent since they started. A report costs as much as it
/// has entries, whatever the number of peers and organisations.
#[derive(Debug, Default)]
pub struct PeerTotals {
    reports: HashMap<IpAddr, PeerReport>,
    /// Sum of the times of the last reports, in ms, and number of the peers that send them.
    reported_at_ms: u64,
    reporting: u64,
}

/// Newest report of a peer.
#[derive(Debug)]
struct PeerReport {
    run: u64,
    /// Time of the report; `None` if no further one is expected.
    reported_at: Option<Instant>,
    /// Sorted by organisation. An organisation that is missing has a total of 0.
    totals: Vec<TokenUsage>,
}

/// Change of the tokens that a peer has spent for an organisation. Negative after a refund.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageChange {
    pub organisation_key: u32,
    pub tokens: i64,
}

impl PeerTotals {
    /// Records a report of a peer's process and returns what has changed since its last one. The
    /// first report of a process that was already running only sets the baseline.
    pub fn record(
        &mut self,
        (peer, run): (IpAddr, u64),
        spent: &[TokenUsage],
        is_new_run: bool,
        now: Instant,
    ) -> Vec<UsageChange> {
        self.end_reports(peer);
        self.reported_at_ms += now.as_ms();
        self.reporting += 1;
        let mut totals = spent.to_vec();
        totals.sort_unstable_by_key(|usage| usage.organisation_key);
        let before = self.reports.get_mut(&peer).filter(|before| before.run == run);
        if let Some(before) = before {
            let changes = changes(&before.totals, &totals);
            before.totals = totals;
            before.reported_at = Some(now);
            return changes;
        }
        let changes = if is_new_run { changes(&[], &totals) } else { Vec::new() };
        self.reports.insert(peer, PeerReport { run, reported_at: Some(now), totals });
        changes
    }

    /// Leaves a peer out of the mean age until it reports again.
    pub fn end_reports(&mut self, peer: IpAddr) {
        let report = self.reports.get_mut(&peer);
        if let Some(reported_at) = report.and_then(|report| report.reported_at.take()) {
            self.reported_at_ms -= reported_at.as_ms();
            self.reporting -= 1;
        }
    }

    /// Mean age of the last reports of peers.
    pub fn mean_age_ms(&self, now: Instant) -> u64 {
        let mean_ms = self.reported_at_ms.checked_div(self.reporting);
        mean_ms.map_or(0, |mean_ms| now.as_ms().saturating_sub(mean_ms))
    }
}

/// Returns the differences between two sorted lists of totals.
fn changes(before: &[TokenUsage], after: &[TokenUsage]) -> Vec<UsageChange> {
    let mut changes = Vec::new();
    let (mut before, mut after) = (before.iter().peekable(), after.iter().peekable());
    loop {
        let next_keys =
            [before.peek(), after.peek()].map(|usage| usage.map(|u| u.organisation_key));
        let Some(organisation_key) = next_keys.into_iter().flatten().min() else { return changes };
        let is_next = |usage: &&TokenUsage| usage.organisation_key == organisation_key;
        let tokens_before = before.next_if(is_next).map_or(0, |usage| usage.tokens);
        let tokens_after = after.next_if(is_next).map_or(0, |usage| usage.tokens);
        let tokens = tokens_after as i64 - tokens_before as i64;
        if tokens != 0 {
            changes.push(UsageChange { organisation_key, tokens });
        }
    }
}
