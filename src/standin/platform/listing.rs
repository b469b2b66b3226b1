use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::store::ListedInstance;
use crate::units::InstanceId;

/// Longest lag for which earlier entries are kept.
const KEPT: Duration = Duration::from_secs(180);

/// The list of instances with its recent history, so that it can be shown late.
#[derive(Debug, Default)]
pub struct Listing {
    changes: BTreeMap<InstanceId, Vec<(Instant, Option<ListedInstance>)>>,
}

impl Listing {
    pub fn register(&mut self, instance: ListedInstance) {
        self.change(instance.instance.clone(), Some(instance));
    }

    pub fn remove(&mut self, instance: InstanceId) {
        self.change(instance, None);
    }

    fn change(&mut self, id: InstanceId, entry: Option<ListedInstance>) {
        let now = Instant::now();
        let changes = self.changes.entry(id).or_default();
        // The newest change older than the kept time is still the state at its start.
        let old = changes.iter().take_while(|(at, _)| *at + KEPT < now).count();
        changes.drain(..old.saturating_sub(1));
        changes.push((now, entry));
    }

    /// The list as it was `lag` ago.
    pub fn shown(&self, lag: Duration, ttl: Option<Duration>) -> Vec<ListedInstance> {
        let now = Instant::now();
        let visible = self.changes.values().filter_map(|changes| {
            let (at, entry) = changes.iter().rev().find(|(at, _)| *at + lag <= now)?;
            let expired = ttl.is_some_and(|ttl| *at + ttl + lag <= now);
            entry.clone().filter(|_| !expired)
        });
        visible.collect()
    }
}
