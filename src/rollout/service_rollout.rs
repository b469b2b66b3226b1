use std::collections::HashMap;
use std::net::IpAddr;

use smol_str::SmolStr;

use crate::clock::Instant;
use crate::rollout::{
    AnswerKind, Exposure, Judgement, RolloutPhase, RolloutReport, RolloutState, StepCounts,
    Verdict, judge,
};
use crate::units::ServiceId;

/// Part of the bound of a roll-back in which a version under observation still gets requests after
/// the last sign of an instance that decides, so that an instance that is cut off keeps the bound.
/// With 5 s it exceeds two rounds of statuses in a fleet of a hundred.
const CONFIRMATION_PERCENT: u64 = 60;
/// Time after success in which the old version gets nothing although its entries may still exist.
const OLD_ENTRIES_MS: u64 = 60_000;
/// Steps whose answers are reported. Peers remember the earlier ones.
const REPORTED_STEPS: u32 = 3;
/// Routes that are counted on their own; the others are counted together.
const MAX_ROUTES: usize = 16;

/// An operator's order to move a service to endpoints of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    pub service: ServiceId,
    pub target: SmolStr,
    pub deadline_ms: u64,
}

/// One instance's view of a service's roll-out.
#[derive(Debug)]
pub struct Rollout {
    pub order: RolloutOrder,
    /// Version of the order's row.
    pub order_version: u64,
    pub state: Option<RolloutState>,
    /// Latest time at which an instance was known to decide.
    confirmed_at: Option<Instant>,
    confirmation_ms: u64,
    succeeded_at: Option<Instant>,
    pub exposure: Exposure,
    own_counts: StepCounts,
    /// Counts of the processes of peers, by address and run.
    peer_counts: HashMap<(IpAddr, u64), StepCounts>,
    /// Peers whose newest report shows that they have moved, with the step.
    moved_peers: HashMap<IpAddr, u32>,
    /// The answers known here already show that the version is bad.
    is_suspended: bool,
}

impl Rollout {
    pub fn new(order: RolloutOrder, order_version: u64, rollback_ms: u64) -> Rollout {
        Rollout {
            order,
            order_version,
            state: None,
            confirmed_at: None,
            confirmation_ms: rollback_ms * CONFIRMATION_PERCENT / 100,
            succeeded_at: None,
            exposure: Exposure::default(),
            own_counts: StepCounts::new(),
            peer_counts: HashMap::new(),
            moved_peers: HashMap::new(),
            is_suspended: false,
        }
    }

    pub fn phase(&self) -> Option<RolloutPhase> {
        self.state.as_ref().map(|state| state.phase)
    }

    /// Applies a step unless a newer one is known. Returns whether it is new.
    pub fn apply_state(&mut self, state: &RolloutState, now: Instant) -> bool {
        let is_new = state.order == self.order_version
            && self.state.as_ref().is_none_or(|known| state.is_newer_than(known));
        if is_new {
            self.state = Some(state.clone());
            if state.phase == RolloutPhase::Succeeded {
                self.succeeded_at = Some(now);
            }
        }
        is_new
    }

    /// Records that an instance decided on the roll-out at `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Part of the allowance that may be used now; `None` unless the version is under observation.
    pub fn allowance_percent(&self, now: Instant) -> Option<u8> {
        let Some(RolloutPhase::Observing { allowance_percent }) = self.phase() else { return None };
        let is_confirmed =
            self.confirmed_at.is_some_and(|at| now.ms_since(at) < self.confirmation_ms);
        (is_confirmed && !self.is_suspended).then_some(allowance_percent)
    }

    /// Whether all requests go to the new version. An instance that is cut off after the move began
    /// keeps to it: the old endpoints stop at once on success.
    pub fn is_moving(&self, now: Instant) -> bool {
        match self.phase() {
            Some(RolloutPhase::Moving) => !self.is_suspended,
            Some(RolloutPhase::Succeeded) => !self.is_settled(now),
            _ => false,
        }
    }

    /// Whether the roll-out succeeded so long ago that it no longer concerns requests.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.succeeded_at.is_some_and(|at| now.ms_since(at) >= OLD_ENTRIES_MS)
    }

    pub fn record_answer(&mut self, is_new: bool, route: u32, kind: AnswerKind, endpoint: u32) {
        let Some(state) = &self.state else { return };
        if state.phase.is_final() {
            return;
        }
        let is_known = self.own_counts.keys().any(|(_, known)| *known == route);
        let routes = self.own_counts.keys().filter(|(step, _)| *step == state.step).count();
        let route = if is_known || routes < MAX_ROUTES { route } else { 1 };
        let counts = self.own_counts.entry((state.step, route)).or_default();
        counts.of(is_new).record(kind, endpoint);
    }

    /// Answers of all instances that are known here.
    pub fn counts(&self) -> StepCounts {
        let mut sum = self.own_counts.clone();
        for counts in self.peer_counts.values() {
            for (key, pair) in counts {
                sum.entry(*key).or_default().add(pair);
            }
        }
        sum
    }

    /// Judges the version and suspends it here at once if it is bad.
    pub fn judge(&mut self, new_endpoints: usize) -> Judgement {
        let judgement = judge(&self.counts(), new_endpoints);
        self.is_suspended |= judgement.verdict == Verdict::Bad;
        judgement
    }

    /// Whether the answers known here show that the version is bad.
    pub fn is_suspended(&self) -> bool {
        self.is_suspended
    }

    /// Whether this instance and all of `peers` have moved in the current step.
    pub fn is_moved_everywhere(
        &self,
        old_requests: u32,
        peers: impl IntoIterator<Item = IpAddr>,
        now: Instant,
    ) -> bool {
        let Some(state) = &self.state else { return false };
        self.is_moved(old_requests, now)
            && peers.into_iter().all(|peer| self.moved_peers.get(&peer) == Some(&state.step))
    }

    fn is_moved(&self, old_requests: u32, now: Instant) -> bool {
        self.is_moving(now) && old_requests == 0
    }

    /// The report to peers; `None` before the first step is known.
    pub fn report(&self, old_requests: u32, now: Instant) -> Option<RolloutReport> {
        let state = self.state.clone()?;
        let reported = |step: u32| step + REPORTED_STEPS > state.step;
        let counts = match state.phase.is_final() {
            true => Vec::new(),
            false => {
                let recent = self.own_counts.iter().filter(|((step, _), _)| reported(*step));
                recent.map(|(key, pair)| (*key, pair.clone())).collect()
            }
        };
        Some(RolloutReport {
            service: self.order.service.clone(),
            confirmed_age_ms: self.confirmed_at.map_or(u64::MAX, |at| now.ms_since(at)),
            is_moved: self.is_moved(old_requests, now),
            counts,
            state,
        })
    }

    /// Applies a peer's report. Returns whether it contains a new step.
    pub fn apply_report(
        &mut self,
        from: (IpAddr, u64),
        report: &RolloutReport,
        now: Instant,
    ) -> bool {
        if report.state.order != self.order_version {
            return false;
        }
        let is_new = self.apply_state(&report.state, now);
        if report.confirmed_age_ms < self.confirmation_ms {
            let at_ms = now.as_ms().saturating_sub(report.confirmed_age_ms);
            self.confirm(Instant::from_ms(at_ms));
        }
        if report.is_moved {
            self.moved_peers.insert(from.0, report.state.step);
        } else {
            self.moved_peers.remove(&from.0);
        }
        let known = self.peer_counts.entry(from).or_default();
        known.extend(report.counts.iter().cloned());
        is_new
    }
}
