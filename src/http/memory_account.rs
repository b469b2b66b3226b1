use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// Charges up to this size may use the whole account. Larger ones leave a part of it, so that small
/// requests are served while large ones wait for their endpoints.
const SMALL_CHARGE_BYTES: usize = 64 << 10;
/// Fraction of the account that only small charges may use.
const SMALL_FRACTION: usize = 4;

/// Account of memory that is held for clients. When it is exhausted, the largest charges whose
/// owners have not begun a request are shed, among equal ones the least recently active.
///
/// The load it answers: crowds of clients that send large bodies or hold connections without ever
/// completing a request.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    limits: AccountLimits,
    state: Arc<Mutex<AccountState>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    pub max_bytes: usize,
    pub max_charges: usize,
}

#[derive(Debug, Default)]
struct AccountState {
    /// Charges by id, without those that were shed.
    charges: BTreeMap<u64, ChargeState>,
    used_bytes: usize,
    /// Number of charges that were shed and are not dropped yet.
    shed_charges: usize,
    next_id: u64,
    /// Number of the last activity of any charge.
    activity: u64,
}

#[derive(Debug)]
struct ChargeState {
    bytes: usize,
    is_sheddable: bool,
    last_activity: u64,
    shed: Arc<Notify>,
}

/// Memory held for one client, returned to the account on drop.
#[derive(Debug)]
pub struct MemoryCharge {
    account: MemoryAccount,
    id: u64,
    shed: Arc<Notify>,
}

impl MemoryAccount {
    pub fn new(limits: AccountLimits) -> MemoryAccount {
        MemoryAccount { limits, state: Arc::default() }
    }

    /// Opens a sheddable charge. `None` if there is no room and none can be made.
    pub fn open(&self, bytes: usize) -> Option<MemoryCharge> {
        let mut state = self.lock();
        if !state.make_room(self.limits, None, bytes) {
            return None;
        }
        let id = state.next_id;
        state.next_id += 1;
        state.activity += 1;
        state.used_bytes += bytes;
        let shed = Arc::new(Notify::new());
        let last_activity = state.activity;
        let charge =
            ChargeState { bytes, is_sheddable: true, last_activity, shed: Arc::clone(&shed) };
        state.charges.insert(id, charge);
        drop(state);
        Some(MemoryCharge { account: self.clone(), id, shed })
    }

    pub fn used_bytes(&self) -> usize {
        self.lock().used_bytes
    }

    /// Whether the owner of a charge that was shed still holds its memory.
    pub fn has_shed_charges(&self) -> bool {
        self.lock().shed_charges > 0
    }

    fn lock(&self) -> MutexGuard<'_, AccountState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AccountState {
    /// Sheds charges until `bytes` fit, in place of those of `owner`. Sheds nothing if that cannot
    /// be achieved with charges of at least the same size.
    fn make_room(&mut self, limits: AccountLimits, owner: Option<u64>, bytes: usize) -> bool {
        let max_bytes = if bytes > SMALL_CHARGE_BYTES {
            limits.max_bytes - limits.max_bytes / SMALL_FRACTION
        } else {
            limits.max_bytes
        };
        let own_bytes = owner.and_then(|id| self.charges.get(&id)).map_or(0, |own| own.bytes);
        let mut excess = (self.used_bytes - own_bytes + bytes).saturating_sub(max_bytes);
        let new_charges = usize::from(owner.is_none());
        let mut excess_charges =
            (self.charges.len() + new_charges).saturating_sub(limits.max_charges);
        if excess == 0 && excess_charges == 0 {
            return true;
        }
        let candidates = self.charges.iter().filter(|(id, charge)| {
            charge.is_sheddable && charge.bytes >= bytes && Some(**id) != owner
        });
        let mut candidates: Vec<(u64, usize, u64)> =
            candidates.map(|(id, charge)| (*id, charge.bytes, charge.last_activity)).collect();
        candidates.sort_by_key(|(_, bytes, activity)| (std::cmp::Reverse(*bytes), *activity));
        let mut victims = Vec::new();
        for (id, bytes, _) in candidates {
            if excess == 0 && excess_charges == 0 {
                break;
            }
            victims.push(id);
            excess = excess.saturating_sub(bytes);
            excess_charges = excess_charges.saturating_sub(1);
        }
        if excess > 0 || excess_charges > 0 {
            return false;
        }
        for victim in victims {
            if let Some(charge) = self.charges.remove(&victim) {
                self.used_bytes -= charge.bytes;
                self.shed_charges += 1;
                charge.shed.notify_one();
            }
        }
        true
    }
}

impl MemoryCharge {
    /// Raises the charge to `bytes` if it is lower. Returns whether there is room; a charge that
    /// was shed has none.
    pub fn grow_to(&self, bytes: usize) -> bool {
        let mut state = self.account.lock();
        state.activity += 1;
        let activity = state.activity;
        let Some(charge) = state.charges.get_mut(&self.id) else { return false };
        charge.last_activity = activity;
        let own_bytes = charge.bytes;
        if bytes <= own_bytes {
            return true;
        }
        if !state.make_room(self.account.limits, Some(self.id), bytes) {
            return false;
        }
        state.used_bytes += bytes - own_bytes;
        if let Some(charge) = state.charges.get_mut(&self.id) {
            charge.bytes = bytes;
        }
        true
    }

    /// Sets the charge to `bytes`, which must not be more than it is.
    pub fn shrink_to(&self, bytes: usize) {
        let mut state = self.account.lock();
        if let Some(charge) = state.charges.get_mut(&self.id) {
            let freed = charge.bytes.saturating_sub(bytes);
            charge.bytes -= freed;
            state.used_bytes -= freed;
        }
    }

    /// Sets whether the charge may be shed: not while a request runs on its account.
    pub fn set_sheddable(&self, is_sheddable: bool) {
        let mut state = self.account.lock();
        state.activity += 1;
        let activity = state.activity;
        if let Some(charge) = state.charges.get_mut(&self.id) {
            charge.is_sheddable = is_sheddable;
            charge.last_activity = activity;
        }
    }

    /// Completes when the charge has been shed. Its owner then frees the memory.
    pub async fn shed(&self) {
        self.shed.notified().await;
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        match state.charges.remove(&self.id) {
            Some(charge) => state.used_bytes -= charge.bytes,
            None => state.shed_charges -= 1,
        }
    }
}
