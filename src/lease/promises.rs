use std::collections::HashMap;

use crate::clock::Instant;
use crate::lease::Holding;
use crate::units::{FencingToken, Incarnation, InstanceId, ShardId};

/// What this instance has promised as a witness. Lost with the process, which is why a restarted
/// witness counts as another one.
#[derive(Debug, Default)]
pub(super) struct Promises {
    by_shard: HashMap<ShardId, Promise>,
}

#[derive(Debug)]
struct Promise {
    fencing: FencingToken,
    holder: InstanceId,
    incarnation: Incarnation,
    /// No consent before this instant.
    until: Instant,
    /// Consent was given. It never expires: the takeover's write may take effect at any later
    /// time, and the holder must not have extended the lease then.
    has_consented: bool,
}

impl Promises {
    pub fn extend(&mut self, holding: &Holding, until: Instant) -> bool {
        let promise = self.entry(holding);
        if !promise.is_for(holding) || promise.has_consented {
            return false;
        }
        promise.until = promise.until.max(until);
        true
    }

    pub fn consent(&mut self, holding: &Holding, now: Instant) -> bool {
        let promise = self.entry(holding);
        if !promise.is_for(holding) || promise.until > now {
            return false;
        }
        promise.has_consented = true;
        true
    }

    /// A higher fencing number stands in the row already, so promises for lower ones are void.
    fn entry(&mut self, holding: &Holding) -> &mut Promise {
        let promise =
            self.by_shard.entry(holding.shard.clone()).or_insert_with(|| Promise::new(holding));
        if promise.fencing < holding.fencing {
            *promise = Promise::new(holding);
        }
        promise
    }
}

impl Promise {
    fn new(holding: &Holding) -> Promise {
        Promise {
            fencing: holding.fencing,
            holder: holding.holder.clone(),
            incarnation: holding.incarnation,
            until: Instant::default(),
            has_consented: false,
        }
    }

    fn is_for(&self, holding: &Holding) -> bool {
        self.fencing == holding.fencing
            && self.holder == holding.holder
            && self.incarnation == holding.incarnation
    }
}
