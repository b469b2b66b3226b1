use std::collections::{BTreeMap, BinaryHeap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::http::AccountLimits;

/// Account of the memory and the descriptors that a process holds for its clients: their
/// connections, and the requests on them with heads, bodies and responses. When it is exhausted,
/// charges whose owners wait for their clients are shed: idle connections first, then requests from
/// the largest one on, and among equal ones the least recently active.
///
/// The load it answers: crowds of clients that send or read slowly, or not at all.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    limits: AccountLimits,
    state: Arc<Mutex<AccountState>>,
}

#[derive(Debug, Default)]
struct AccountState {
    /// Charges by id, without those that were shed.
    charges: BTreeMap<u64, ChargeState>,
    used_bytes: usize,
    connections: usize,
    /// Number of charges that were shed and are not dropped yet.
    shed_charges: usize,
    next_id: u64,
    /// Number of the last activity of any charge.
    activity: u64,
}

#[derive(Debug)]
struct ChargeState {
    kind: ChargeKind,
    bytes: usize,
    /// Whether the request has not arrived completely, so that it can be refused.
    is_arriving: bool,
    /// Whether the client does not accept the response, so that its connection can be closed.
    is_blocked: bool,
    last_activity: u64,
    shed: Arc<Notify>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChargeKind {
    /// A connection with this many requests, which may be shed while it has none.
    Connection { requests: usize },
    /// A request on the connection with this id.
    Request { connection: u64 },
}

/// Memory held for a connection or a request, returned to the account on drop.
#[derive(Debug)]
pub struct MemoryCharge {
    account: MemoryAccount,
    id: u64,
    kind: ChargeKind,
    /// Whether there was room for the charge; otherwise it cannot grow.
    was_opened: bool,
    shed: Arc<Notify>,
}

/// A charge that asks for memory.
struct Asker {
    /// `None` for a charge that is about to be opened.
    id: Option<u64>,
    kind: ChargeKind,
    bytes: usize,
}

/// A charge that may be shed, ordered by which one is shed first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    is_connection: bool,
    bytes: usize,
    last_activity: std::cmp::Reverse<u64>,
    id: u64,
}

impl MemoryAccount {
    pub fn new(limits: AccountLimits) -> MemoryAccount {
        MemoryAccount { limits, state: Arc::default() }
    }

    /// Opens the charge of a connection. `None` if there is no room and none can be made.
    pub fn open_connection(&self, bytes: usize) -> Option<MemoryCharge> {
        let mut state = self.lock();
        let kind = ChargeKind::Connection { requests: 0 };
        if !state.make_room(&self.limits, &Asker { id: None, kind, bytes }) {
            return None;
        }
        let (id, shed) = state.insert(kind, bytes);
        drop(state);
        Some(MemoryCharge { account: self.clone(), id, kind, was_opened: true, shed })
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
    fn insert(&mut self, kind: ChargeKind, bytes: usize) -> (u64, Arc<Notify>) {
        let id = self.next_id();
        self.activity += 1;
        self.used_bytes += bytes;
        self.connections += usize::from(kind.is_connection());
        let shed = Arc::new(Notify::new());
        let charge = ChargeState {
            kind,
            bytes,
            is_arriving: false,
            is_blocked: false,
            last_activity: self.activity,
            shed: Arc::clone(&shed),
        };
        self.charges.insert(id, charge);
        (id, shed)
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Records an activity of a charge and returns its bytes; `None` if it was shed.
    fn record_activity(&mut self, id: u64) -> Option<usize> {
        self.activity += 1;
        let charge = self.charges.get_mut(&id)?;
        charge.last_activity = self.activity;
        Some(charge.bytes)
    }

    fn remove(&mut self, id: u64) -> Option<ChargeState> {
        let charge = self.charges.remove(&id)?;
        self.used_bytes -= charge.bytes;
        self.connections -= usize::from(charge.kind.is_connection());
        Some(charge)
    }

    /// Bytes, connections and descriptors above the limits once the asker has what it asks for.
    fn excess(&self, limits: &AccountLimits, asker: &Asker) -> Excess {
        let own_bytes = asker.id.and_then(|id| self.charges.get(&id)).map_or(0, |own| own.bytes);
        let is_new = usize::from(asker.id.is_none());
        let new_connections = is_new * usize::from(asker.kind.is_connection());
        let max_bytes = limits.max_bytes_for(asker.kind.is_connection(), asker.bytes);
        Excess {
            bytes: (self.used_bytes - own_bytes + asker.bytes).saturating_sub(max_bytes),
            connections: (self.connections + new_connections)
                .saturating_sub(limits.max_connections),
            descriptors: (self.charges.len() + is_new).saturating_sub(limits.max_descriptors),
        }
    }

    /// Sheds charges until the asker has room. Sheds nothing if that cannot be achieved.
    fn make_room(&mut self, limits: &AccountLimits, asker: &Asker) -> bool {
        let mut excess = self.excess(limits, asker);
        if excess.is_none() {
            return true;
        }
        let mut candidates = self.candidates(limits, asker);
        let mut victims = Vec::new();
        while !excess.is_none() {
            let Some(candidate) = candidates.pop() else { return false };
            let closed = self.closed_with(candidate.id);
            let closes_connection = candidate.is_connection || closed.is_some();
            if excess.bytes == 0 && excess.descriptors == 0 && !closes_connection {
                continue;
            }
            let closed_bytes = closed.and_then(|id| self.charges.get(&id)).map_or(0, |c| c.bytes);
            excess.bytes = excess.bytes.saturating_sub(candidate.bytes + closed_bytes);
            excess.connections = excess.connections.saturating_sub(closes_connection.into());
            let descriptors = 1 + usize::from(closed.is_some());
            excess.descriptors = excess.descriptors.saturating_sub(descriptors);
            victims.push(candidate.id);
            victims.extend(closed);
        }
        for victim in victims {
            if let Some(charge) = self.remove(victim) {
                self.shed_charges += 1;
                charge.shed.notify_one();
            }
        }
        true
    }

    /// Charges that may be shed for the asker. A large one gets no room from smaller ones.
    fn candidates(&self, limits: &AccountLimits, asker: &Asker) -> BinaryHeap<Candidate> {
        let min_bytes = if limits.is_small(asker.bytes) { 0 } else { asker.bytes };
        let own_connection = match asker.kind {
            ChargeKind::Request { connection } => Some(connection),
            ChargeKind::Connection { .. } => None,
        };
        let candidates = self.charges.iter().filter(|(id, charge)| {
            charge.is_sheddable()
                && charge.bytes >= min_bytes
                && Some(**id) != asker.id
                && Some(**id) != own_connection
        });
        let candidates = candidates.map(|(id, charge)| Candidate {
            is_connection: charge.kind.is_connection(),
            bytes: charge.bytes,
            last_activity: std::cmp::Reverse(charge.last_activity),
            id: *id,
        });
        candidates.collect::<Vec<_>>().into()
    }

    /// The connection that is closed when this request is shed.
    fn closed_with(&self, request: u64) -> Option<u64> {
        let charge = self.charges.get(&request)?;
        match charge.kind {
            ChargeKind::Request { connection } if charge.is_blocked => {
                self.charges.contains_key(&connection).then_some(connection)
            }
            _ => None,
        }
    }
}

/// What exceeds the limits of an account.
struct Excess {
    bytes: usize,
    connections: usize,
    descriptors: usize,
}

impl Excess {
    fn is_none(&self) -> bool {
        self.bytes == 0 && self.connections == 0 && self.descriptors == 0
    }
}

impl ChargeKind {
    fn is_connection(self) -> bool {
        matches!(self, ChargeKind::Connection { .. })
    }
}

impl MemoryCharge {
    /// Opens the charge of a request on this connection. If there is no room, it is a charge that
    /// cannot grow.
    pub fn open_request(&self, bytes: usize) -> MemoryCharge {
        let kind = ChargeKind::Request { connection: self.id };
        let mut state = self.account.lock();
        let connection = state.charges.get_mut(&self.id);
        let is_connected = connection.map(|connection| connection.add_requests(1)).is_some();
        let asker = Asker { id: None, kind, bytes };
        let was_opened = is_connected && state.make_room(&self.account.limits, &asker);
        let (id, shed) =
            if was_opened { state.insert(kind, bytes) } else { (state.next_id(), Arc::default()) };
        drop(state);
        MemoryCharge { account: self.account.clone(), id, kind, was_opened, shed }
    }

    /// Raises the charge to `bytes` if it is lower, and sheds others for it. Returns whether there
    /// is room; a charge that was shed has none.
    pub fn grow_to(&self, bytes: usize) -> bool {
        self.grow(bytes, true)
    }

    /// Does the same without shedding others.
    pub fn try_grow_to(&self, bytes: usize) -> bool {
        self.grow(bytes, false)
    }

    fn grow(&self, bytes: usize, may_shed: bool) -> bool {
        let mut state = self.account.lock();
        let Some(own_bytes) = state.record_activity(self.id) else { return false };
        if bytes <= own_bytes {
            return true;
        }
        let limits = &self.account.limits;
        let asker = Asker { id: Some(self.id), kind: self.kind, bytes };
        let has_room = if may_shed {
            state.make_room(limits, &asker)
        } else {
            state.excess(limits, &asker).is_none()
        };
        if !has_room {
            return false;
        }
        state.used_bytes += bytes - own_bytes;
        if let Some(charge) = state.charges.get_mut(&self.id) {
            charge.bytes = bytes;
        }
        true
    }

    /// Lowers the charge to `bytes` if it is higher.
    pub fn shrink_to(&self, bytes: usize) {
        let mut state = self.account.lock();
        if let Some(charge) = state.charges.get_mut(&self.id) {
            let freed = charge.bytes.saturating_sub(bytes);
            charge.bytes -= freed;
            state.used_bytes -= freed;
        }
    }

    /// Sets whether the request has not arrived completely.
    pub fn set_arriving(&self, is_arriving: bool) {
        self.update(|charge| charge.is_arriving = is_arriving);
    }

    /// Sets whether the client does not accept the response to the request.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.update(|charge| charge.is_blocked = is_blocked);
    }

    fn update(&self, change: impl FnOnce(&mut ChargeState)) {
        let mut state = self.account.lock();
        state.record_activity(self.id);
        if let Some(charge) = state.charges.get_mut(&self.id) {
            change(charge);
        }
    }

    /// Completes when the charge has been shed. Its owner then frees the memory.
    pub async fn shed(&self) {
        self.shed.notified().await;
    }
}

impl ChargeState {
    /// Whether the owner waits for its client. Requests that may be running at an endpoint for a
    /// client that accepts the response are not shed.
    fn is_sheddable(&self) -> bool {
        match self.kind {
            ChargeKind::Connection { requests } => requests == 0,
            ChargeKind::Request { .. } => self.is_arriving || self.is_blocked,
        }
    }

    fn add_requests(&mut self, more: isize) {
        if let ChargeKind::Connection { requests } = &mut self.kind {
            *requests = requests.saturating_add_signed(more);
        }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        if state.remove(self.id).is_none() && self.was_opened {
            state.shed_charges -= 1;
        }
        if let ChargeKind::Request { connection } = self.kind {
            state.record_activity(connection);
            if let Some(connection) = state.charges.get_mut(&connection) {
                connection.add_requests(-1);
            }
        }
    }
}
