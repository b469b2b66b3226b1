use super::holder_time::HolderTime;
use super::outstanding::Drawer;
use crate::units::Tokens;

/// Instances whose need exceeds the level, in order of arrival. The level is kept for the first,
/// so that small draws of other instances do not starve a large one.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingDraws {
    waiting: Vec<WaitingDraw>,
}

#[derive(Clone, Debug)]
struct WaitingDraw {
    drawer: Drawer,
    need: Tokens,
    until: HolderTime,
}

impl WaitingDraws {
    /// An instance that waits repeats its draw at least every 100 ms.
    const SILENT_MS: u64 = 300;

    /// Tokens kept for those ahead of `drawer`.
    pub fn ahead_of(&mut self, drawer: &Drawer, now: HolderTime) -> Tokens {
        self.waiting.retain(|waiting| waiting.until > now);
        let ahead = self.waiting.iter().take_while(|waiting| waiting.drawer != *drawer);
        ahead.map(|waiting| waiting.need).sum()
    }

    pub fn enter(&mut self, drawer: Drawer, need: Tokens, now: HolderTime) {
        let until = now.plus_ms(WaitingDraws::SILENT_MS);
        match self.waiting.iter_mut().find(|waiting| waiting.drawer == drawer) {
            Some(waiting) => (waiting.need, waiting.until) = (need, until),
            None => self.waiting.push(WaitingDraw { drawer, need, until }),
        }
    }

    pub fn leave(&mut self, drawer: &Drawer) {
        self.waiting.retain(|waiting| waiting.drawer != *drawer);
    }
}
