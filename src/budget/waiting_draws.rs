use super::holder_time::HolderTime;
use super::outstanding_grants::InstanceRun;
use crate::units::Tokens;

/// Instances whose need exceeds the level, in order of arrival. The level is reserved for the first
/// one, so that small draws of other instances do not starve a large one.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingDraws {
    waiting: Vec<WaitingDraw>,
}

#[derive(Clone, Debug)]
struct WaitingDraw {
    instance_run: InstanceRun,
    need: Tokens,
    until: HolderTime,
}

impl WaitingDraws {
    /// A waiting instance repeats its draw at least every 100 ms, so an entry is dropped after this
    /// time without one.
    const EXPIRY_MS: u64 = 300;

    /// Tokens reserved for the draws that wait before that of `instance_run`.
    pub fn reserved_before(&mut self, instance_run: &InstanceRun, now: HolderTime) -> Tokens {
        self.waiting.retain(|waiting| waiting.until > now);
        let reserved =
            self.waiting.iter().take_while(|waiting| waiting.instance_run != *instance_run);
        reserved.map(|waiting| waiting.need).sum()
    }

    pub fn insert(&mut self, instance_run: InstanceRun, need: Tokens, now: HolderTime) {
        let until = now.plus_ms(WaitingDraws::EXPIRY_MS);
        match self.waiting.iter_mut().find(|waiting| waiting.instance_run == instance_run) {
            Some(waiting) => (waiting.need, waiting.until) = (need, until),
            None => self.waiting.push(WaitingDraw { instance_run, need, until }),
        }
    }

    pub fn remove(&mut self, instance_run: &InstanceRun) {
        self.waiting.retain(|waiting| waiting.instance_run != *instance_run);
    }
}
