use std::collections::HashMap;

use crate::clock::Instant;
use crate::pool::admission_rate::AdmissionRate;
use crate::pool::flow::Flow;
use crate::pool::queued_admission::QueuedAdmission;
use crate::units::OrganisationId;

/// Weighted fair queue of one priority class. The organisation that has received the least service
/// relative to its weight is served next. Cost is charged at admission and corrected when the
/// attempt ends.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: HashMap<OrganisationId, Flow>,
    /// Pass value of the organisation that was served last. An idle organisation restarts at this
    /// value, so it cannot accumulate credit.
    virtual_time: f64,
    admission_rate: AdmissionRate,
}

impl FairQueue {
    pub fn is_empty(&self) -> bool {
        self.flows.values().all(Flow::is_empty)
    }

    pub fn len(&self) -> usize {
        self.flows.values().map(Flow::len).sum()
    }

    pub fn push(&mut self, queued: QueuedAdmission, weight: u32) {
        let flow = self.flows.entry(queued.admission.organisation.clone()).or_default();
        if flow.is_empty() {
            flow.pass = flow.pass.max(self.virtual_time);
        }
        flow.weight = f64::from(weight.max(1));
        flow.push(queued);
    }

    /// Returns the queue heads of the backlogged organisations in the order in which they are to be
    /// served.
    pub fn candidates(&self, now: Instant) -> impl Iterator<Item = &QueuedAdmission> {
        let mut flows: Vec<(&OrganisationId, &Flow)> =
            self.flows.iter().filter(|(_, flow)| !flow.is_empty()).collect();
        flows.sort_by(|(a, x), (b, y)| x.pass.total_cmp(&y.pass).then_with(|| a.cmp(b)));
        flows.into_iter().flat_map(move |(_, flow)| flow.heads(now))
    }

    pub fn take(
        &mut self,
        organisation: &OrganisationId,
        id: u64,
        long: bool,
    ) -> Option<QueuedAdmission> {
        self.flows.get_mut(organisation)?.remove(id, long)
    }

    pub fn charge(&mut self, organisation: &OrganisationId, cost: f64) {
        self.admission_rate.record_admitted();
        if let Some(flow) = self.flows.get_mut(organisation) {
            self.virtual_time = self.virtual_time.max(flow.pass);
            flow.pass += cost / flow.weight;
        }
    }

    /// Refunds the unused part of a charge.
    pub fn refund(&mut self, organisation: &OrganisationId, cost: f64) {
        if let Some(flow) = self.flows.get_mut(organisation) {
            flow.pass -= cost / flow.weight;
        }
    }

    /// Returns the expected wait of a new admission, or `None` if the queue has not been backlogged
    /// long enough to estimate it.
    pub fn expected_wait_ms(&self, organisation: &OrganisationId, weight: u32) -> Option<u64> {
        let per_s = self.admission_rate.per_s()?;
        let weight = f64::from(weight.max(1));
        let others = self.flows.iter().filter(|(id, flow)| !flow.is_empty() && *id != organisation);
        let weights = others.map(|(_, flow)| flow.weight).sum::<f64>() + weight;
        let ahead = self.flows.get(organisation).map_or(0, Flow::len) + 1;
        Some((ahead as f64 * weights / weight / per_s * 1000.0) as u64)
    }

    /// Measures the admission rate, and removes and returns expired admissions.
    pub fn tick(&mut self, now: Instant) -> Vec<QueuedAdmission> {
        let is_backlogged = !self.is_empty();
        self.admission_rate.observe(is_backlogged, now);
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            for (id, is_long) in flow.expired(now) {
                expired.extend(flow.remove(id, is_long));
            }
        }
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.is_empty() || flow.pass > virtual_time);
        expired
    }

    pub fn drain(&mut self) -> Vec<QueuedAdmission> {
        self.flows.values_mut().flat_map(Flow::drain).collect()
    }
}
