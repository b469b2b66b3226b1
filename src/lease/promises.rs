use std::collections::HashMap;

use crate::clock::Instant;
use crate::lease::Holding;
use crate::units::{FencingToken, Incarnation, InstanceId, ShardId};

/// Promises made by this instance as a witness. They are held in memory only, so a restarted
/// witness counts as a different one.
#[derive(Debug, Default)]
pub(super) struct Promises {
    by_shard: HashMap<ShardId, Promise>,
}

#[derive(Debug)]
struct Promise {
    fencing: FencingToken,
    holder: InstanceId,
    incarnation: Incarnation,
    /// No consent is given before this time.
    until: Instant,
    /// Whether consent was given. Consent does not expire: the write of the takeover may be applied
    /// at any later time, and the holder must not have extended the lease by then.
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

    /// Returns the promise for the shard. Promises for lower fencing tokens are void, since the row
    /// already has the higher one.
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
