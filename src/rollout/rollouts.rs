use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

use smol_str::SmolStr;

use crate::balance::VersionFilter;
use crate::clock::Instant;
use crate::rollout::{
    AnswerKind, Rollout, RolloutOrder, RolloutPhase, RolloutReport, RolloutSettings, RolloutState,
    VersionHolds,
};
use crate::units::ServiceId;

/// Versions that a request may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionChoice {
    pub filter: VersionFilter,
    /// Sends taken from the allowance of a version under observation, which are given back if they
    /// are not made.
    pub taken_sends: u64,
}

/// The roll-outs of all services, and the versions that wait for an order.
#[derive(Debug, Default)]
pub struct Rollouts {
    /// `None` if the deployment has no roll-outs; nothing is held or counted then.
    settings: Option<RolloutSettings>,
    rollouts: HashMap<ServiceId, Rollout>,
    holds: HashMap<ServiceId, VersionHolds>,
}

impl Rollouts {
    pub fn new(settings: Option<RolloutSettings>) -> Rollouts {
        Rollouts { settings, ..Rollouts::default() }
    }

    pub fn settings(&self) -> Option<&RolloutSettings> {
        self.settings.as_ref()
    }

    /// Applies an order unless a later one is known. `slack_requests` is this instance's part of
    /// the slack. Returns whether the order is new.
    pub fn apply_order(&mut self, order: RolloutOrder, version: u64, slack_requests: u64) -> bool {
        let Some(settings) = self.settings else { return false };
        let known = self.rollouts.get(&order.service);
        if known.is_some_and(|known| known.order_version >= version) {
            return false;
        }
        let holds = self.holds.entry(order.service.clone()).or_default();
        holds.reject(order.target.clone());
        let mut rollout = Rollout::new(order, version, settings.rollback_ms);
        rollout.exposure.set_slack(slack_requests);
        self.rollouts.insert(rollout.order.service.clone(), rollout);
        true
    }

    pub fn update_versions(
        &mut self,
        service: &ServiceId,
        endpoints: &BTreeMap<SmolStr, usize>,
        now: Instant,
    ) {
        if self.settings.is_some() {
            self.holds.entry(service.clone()).or_default().update(endpoints, now);
        }
    }

    pub fn expire_holds(&mut self, now: Instant) {
        self.holds.values_mut().for_each(|holds| holds.expire(now));
    }

    /// Applies a step of a roll-out. Returns whether it is new.
    pub fn apply_state(&mut self, service: &ServiceId, state: &RolloutState, now: Instant) -> bool {
        let Some(rollout) = self.rollouts.get_mut(service) else { return false };
        let is_new = rollout.apply_state(state, now);
        if is_new {
            self.accept_succeeded(service);
        }
        is_new
    }

    fn accept_succeeded(&mut self, service: &ServiceId) {
        let Some(rollout) = self.rollouts.get(service) else { return };
        if rollout.phase() == Some(RolloutPhase::Succeeded) {
            let target = rollout.order.target.clone();
            self.holds.entry(service.clone()).or_default().accept(target);
        }
    }

    pub fn rollout(&self, service: &ServiceId) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    pub fn rollout_mut(&mut self, service: &ServiceId) -> Option<&mut Rollout> {
        self.rollouts.get_mut(service)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values()
    }

    /// Increases with each step that becomes known.
    pub fn known_steps(&self) -> u64 {
        let steps = self.rollouts.values().filter_map(|one| one.state.as_ref());
        steps.map(|state| state.order + u64::from(state.step)).sum()
    }

    /// Roll-outs whose end is not known here.
    pub fn running(&self) -> Vec<ServiceId> {
        let running = self.rollouts.values();
        let running = running.filter(|one| !one.phase().is_some_and(RolloutPhase::is_final));
        running.map(|one| one.order.service.clone()).collect()
    }

    /// Counts a request of a service.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        if let (Some(settings), Some(rollout)) = (self.settings, self.rollouts.get_mut(service))
            && let Some(percent) = rollout.allowance_percent(now)
        {
            rollout.exposure.record_request(settings.exposure_share, percent);
        }
    }

    /// Versions that a request may go to now. A first attempt may go to a version under observation
    /// if `sends` of this instance's allowance are left; further attempts may not.
    pub fn choose(
        &mut self,
        service: &ServiceId,
        is_first: bool,
        sends: u64,
        now: Instant,
    ) -> VersionChoice {
        if let (true, Some(rollout)) = (is_first, self.rollouts.get_mut(service))
            && rollout.allowance_percent(now).is_some()
            && rollout.exposure.try_take(sends)
        {
            let filter = VersionFilter::Only(rollout.order.target.clone());
            return VersionChoice { filter, taken_sends: sends };
        }
        VersionChoice { filter: self.base_filter(service, now), taken_sends: 0 }
    }

    /// Whether a choice made before may still be used for a first attempt.
    pub fn is_current(&self, service: &ServiceId, choice: &VersionChoice, now: Instant) -> bool {
        if choice.taken_sends > 0 {
            let rollout = self.rollouts.get(service);
            return rollout.is_some_and(|rollout| rollout.allowance_percent(now).is_some());
        }
        choice.filter == self.base_filter(service, now)
    }

    /// Versions that requests may go to without the allowance of a version under observation.
    fn base_filter(&self, service: &ServiceId, now: Instant) -> VersionFilter {
        let Some(rollout) = self.rollouts.get(service) else {
            return self.without_held(service, None);
        };
        let target = rollout.order.target.clone();
        if rollout.is_moving(now) {
            VersionFilter::Only(target)
        } else if rollout.is_settled(now) || rollout.state.is_none() {
            self.without_held(service, None)
        } else {
            self.without_held(service, Some(target))
        }
    }

    /// Returns sends that were taken from the allowance and not made.
    pub fn give_back(&mut self, service: &ServiceId, sends: u64) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.exposure.give_back(sends);
        }
    }

    fn without_held(&self, service: &ServiceId, target: Option<SmolStr>) -> VersionFilter {
        let held = self.holds.get(service).into_iter().flat_map(VersionHolds::held).cloned();
        VersionFilter::Except(target.into_iter().chain(held).collect())
    }

    /// Counts an answer of an endpoint of `version`.
    pub fn record_answer(
        &mut self,
        service: &ServiceId,
        version: &SmolStr,
        route: u32,
        kind: AnswerKind,
        endpoint: u32,
    ) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            let is_new = *version == rollout.order.target;
            rollout.record_answer(is_new, route, kind, endpoint);
        }
    }

    /// Reports to peers. `old_requests` returns the requests in flight at endpoints of a service
    /// that are not of a version.
    pub fn reports(
        &self,
        old_requests: impl Fn(&ServiceId, &SmolStr) -> u32,
        now: Instant,
    ) -> Vec<RolloutReport> {
        let reports = self.rollouts.values().filter_map(|rollout| {
            let order = &rollout.order;
            rollout.report(old_requests(&order.service, &order.target), now)
        });
        reports.collect()
    }

    /// Applies a peer's reports. Returns the services with a new step.
    pub fn apply_reports(
        &mut self,
        from: (IpAddr, u64),
        reports: &[RolloutReport],
        now: Instant,
    ) -> Vec<ServiceId> {
        let mut advanced = Vec::new();
        for report in reports {
            let Some(rollout) = self.rollouts.get_mut(&report.service) else { continue };
            if rollout.apply_report(from, report, now) {
                advanced.push(report.service.clone());
            }
        }
        advanced.iter().for_each(|service| self.accept_succeeded(service));
        advanced
    }
}
