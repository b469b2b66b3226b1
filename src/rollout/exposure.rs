/// Part of the allowed exposure that is used. The rest covers requests whose sends are counted
/// differently by the instance and the endpoint, such as repeated ones.
const USED_FRACTION: f64 = 0.9;
/// Part of the slack that is used. Smaller, because instances may see a different number of peers.
const USED_SLACK_FRACTION: f64 = 0.7;
/// Sends that may be saved up beyond the slack. Without a limit, the new version would get all
/// requests for a while after its endpoints were full.
const MAX_SAVED_SENDS: f64 = 4.0;

/// Whole requests of the slack that one of `instances` may use, so that the parts of all add up to
/// no more than the used part of the slack. `index` is the instance's position in the order of
/// addresses.
pub fn slack_part(slack: f64, index: usize, instances: usize) -> u64 {
    let total = (slack * USED_SLACK_FRACTION).max(0.0) as u64;
    let (index, instances) = (index as u64, instances.max(1) as u64);
    (index + 1) * total / instances - index * total / instances
}

/// This instance's part of the requests that a version under observation may get.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    /// Sends that may be made now, from this instance's own requests.
    saved_sends: f64,
    /// Sends that are left of this instance's part of the slack.
    slack_sends: u64,
}

impl Exposure {
    pub fn set_slack(&mut self, sends: u64) {
        self.slack_sends = sends;
    }

    /// Counts a request of the service while `allowance_percent` of `share` is allowed.
    pub fn record_request(&mut self, share: f64, allowance_percent: u8) {
        let fraction = f64::from(allowance_percent.min(100)) / 100.0;
        let more = share.clamp(0.0, 1.0) * USED_FRACTION * fraction;
        self.saved_sends = (self.saved_sends + more).min(MAX_SAVED_SENDS);
    }

    /// Takes `sends` from the allowance if it has room for them.
    pub fn try_take(&mut self, sends: u64) -> bool {
        if self.saved_sends >= sends as f64 {
            self.saved_sends -= sends as f64;
            return true;
        }
        let is_allowed = self.slack_sends >= sends;
        if is_allowed {
            self.slack_sends -= sends;
        }
        is_allowed
    }

    /// Returns sends that were not made.
    pub fn give_back(&mut self, sends: u64) {
        self.saved_sends = (self.saved_sends + sends as f64).min(MAX_SAVED_SENDS);
    }
}
