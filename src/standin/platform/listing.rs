use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::store::ListedInstance;
use crate::units::InstanceId;

/// Duration for which earlier entries are kept, and so the maximum lag.
const HISTORY_DURATION: Duration = Duration::from_secs(180);

/// List of instances with its recent history, so that a delayed state can be returned.
#[derive(Debug, Default)]
pub struct InstanceListing {
    changes: BTreeMap<InstanceId, Vec<(Instant, Option<ListedInstance>)>>,
}

impl InstanceListing {
    pub fn register(&mut self, instance: ListedInstance) {
        self.change(instance.instance.clone(), Some(instance));
    }

    pub fn remove(&mut self, instance: InstanceId) {
        self.change(instance, None);
    }

    fn change(&mut self, id: InstanceId, entry: Option<ListedInstance>) {
        let now = Instant::now();
        let changes = self.changes.entry(id).or_default();
        // The newest of the old changes is kept, because it is the state at the start of the
        // history.
        let old = changes.iter().take_while(|(at, _)| *at + HISTORY_DURATION < now).count();
        changes.drain(..old.saturating_sub(1));
        changes.push((now, entry));
    }

    /// The list as it was `lag` ago, without instances whose last registration was older than
    /// `ttl`.
    pub fn delayed_list(&self, lag: Duration, ttl: Option<Duration>) -> Vec<ListedInstance> {
        let now = Instant::now();
        let visible = self.changes.values().filter_map(|changes| {
            let (at, entry) = changes.iter().rev().find(|(at, _)| *at + lag <= now)?;
            let expired = ttl.is_some_and(|ttl| *at + ttl + lag <= now);
            entry.clone().filter(|_| !expired)
        });
        visible.collect()
    }
}
