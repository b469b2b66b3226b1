use serde::{Deserialize, Serialize};

/// Set if the endpoint answers at times. Instances of earlier versions read it as a long time.
const ANSWERS_FLAG: u16 = 1 << 15;
/// Set if the endpoint, whose pace is being found, answers slowly. Read by them as a long time, too.
const SLOW_FLAG: u16 = 1 << 14;
const FLAGS: u16 = ANSWERS_FLAG | SLOW_FLAG;

/// What an instance tells its peers about an endpoint that it avoids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AvoidReport(u16);

impl AvoidReport {
    /// Reports an endpoint that is avoided for another `avoid_ms`. `answers_at_times` tells whether
    /// it loses only a part of its responses.
    pub fn new(avoid_ms: u64, answers_at_times: bool) -> AvoidReport {
        let avoid_ms = avoid_ms.min(u64::from(SLOW_FLAG - 1)) as u16;
        let flag = if answers_at_times && avoid_ms > 0 { ANSWERS_FLAG } else { 0 };
        AvoidReport(avoid_ms | flag)
    }

    pub fn avoid_ms(self) -> u64 {
        u64::from(self.0 & !FLAGS)
    }

    pub fn is_avoided(self) -> bool {
        self.avoid_ms() > 0
    }

    pub fn answers_at_times(self) -> bool {
        self.0 & ANSWERS_FLAG != 0
    }

    /// The same report, with whether the endpoint answers slowly while its pace is being found.
    pub fn with_slowness(self, is_slow: bool) -> AvoidReport {
        AvoidReport(if is_slow { self.0 | SLOW_FLAG } else { self.0 })
    }

    pub fn is_slow(self) -> bool {
        self.0 & SLOW_FLAG != 0
    }

    /// Combines the reports of two instances.
    pub fn merge(self, other: AvoidReport) -> AvoidReport {
        let answers_at_times = self.answers_at_times() || other.answers_at_times();
        AvoidReport::new(self.avoid_ms().max(other.avoid_ms()), answers_at_times)
            .with_slowness(self.is_slow() || other.is_slow())
    }
}
