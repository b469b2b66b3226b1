use std::collections::VecDeque;

use crate::clock::Instant;
use crate::pool::queued_admission::QueuedAdmission;

/// An organisation's queued admissions in one priority class.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    /// Service received divided by weight, as in stride scheduling.
    pub pass: f64,
    pub weight: f64,
    short: VecDeque<QueuedAdmission>,
    long: VecDeque<QueuedAdmission>,
}

impl Flow {
    pub fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn push(&mut self, queued: QueuedAdmission) {
        self.deque(queued.is_long).push_back(queued);
    }

    /// Returns the heads of both deques. The short one comes first, unless the long one is older
    /// and has aged.
    pub fn heads(&self, now: Instant) -> impl Iterator<Item = &QueuedAdmission> {
        let (short, long) = (self.short.front(), self.long.front());
        let older = |l: &QueuedAdmission| short.is_none_or(|s| l.queued_at < s.queued_at);
        let long_first = long.is_some_and(|l| l.is_aged(now) && older(l));
        let heads = if long_first { [long, short] } else { [short, long] };
        heads.into_iter().flatten()
    }

    pub fn remove(&mut self, id: u64, is_long: bool) -> Option<QueuedAdmission> {
        let deque = self.deque(is_long);
        let at = deque.iter().position(|queued| queued.id == id)?;
        deque.remove(at)
    }

    pub fn drain(&mut self) -> impl Iterator<Item = QueuedAdmission> {
        self.short.drain(..).chain(self.long.drain(..))
    }

    pub fn expired(&self, now: Instant) -> Vec<(u64, bool)> {
        let all_queued = self.short.iter().chain(&self.long);
        all_queued.filter(|w| w.expires_at <= now).map(|w| (w.id, w.is_long)).collect()
    }

    fn deque(&mut self, is_long: bool) -> &mut VecDeque<QueuedAdmission> {
        if is_long { &mut self.long } else { &mut self.short }
    }
}
