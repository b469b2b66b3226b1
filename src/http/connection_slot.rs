use std::cell::Cell;
use std::rc::Rc;

use crate::http::memory_account::{MemoryAccount, MemoryCharge};
use crate::http::refused_clients::record_refused_client;

/// Memory of a connection with its task and the first block of its read buffer.
const CONNECTION_BYTES: usize = 24 << 10;
/// Bytes of one request that fit into the first block of the read buffer.
const FIRST_BLOCK_BYTES: usize = 8 << 10;
/// Memory of a connection whose read buffer has grown to its limit.
const FULL_CONNECTION_BYTES: usize = CONNECTION_BYTES + (32 << 10);

/// A client's place among the connections of the process. It is shed only while no request of the
/// connection is in progress.
pub(super) struct ConnectionSlot {
    /// `None` for servers without a limit.
    charge: Option<MemoryCharge>,
    requests: Cell<u32>,
    request_bytes: Cell<usize>,
}

/// A request in progress, until its response has been passed to the connection.
pub(super) struct RequestGuard(Rc<ConnectionSlot>);

impl ConnectionSlot {
    /// Opens a slot, in place of the connection that has been idle longest if the account is
    /// exhausted. `None` if requests are in progress on all of them.
    pub(super) fn open(account: Option<&MemoryAccount>) -> Option<Rc<ConnectionSlot>> {
        let charge = match account {
            None => None,
            Some(account) => {
                let charge = account.open(CONNECTION_BYTES);
                if charge.is_none() {
                    record_refused_client("connection_limit");
                }
                Some(charge?)
            }
        };
        let (requests, request_bytes) = (Cell::new(0), Cell::new(0));
        Some(Rc::new(ConnectionSlot { charge, requests, request_bytes }))
    }

    pub(super) fn is_limited(&self) -> bool {
        self.charge.is_some()
    }

    /// Counts bytes that were read. Returns whether the account has room for the read buffer.
    pub(super) fn record_read(&self, bytes: usize) -> bool {
        self.request_bytes.set(self.request_bytes.get() + bytes);
        let Some(charge) = &self.charge else { return true };
        let needed_bytes = if self.request_bytes.get() > FIRST_BLOCK_BYTES {
            FULL_CONNECTION_BYTES
        } else {
            CONNECTION_BYTES
        };
        let has_room = charge.grow_to(needed_bytes);
        if !has_room {
            record_refused_client("connection_memory");
        }
        has_room
    }

    pub(super) fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.requests.set(self.requests.get() + 1);
        if let Some(charge) = &self.charge {
            charge.set_sheddable(false);
        }
        RequestGuard(Rc::clone(self))
    }

    /// Completes when the connection must be closed to make room for another one.
    pub(super) async fn shed(&self) {
        match &self.charge {
            Some(charge) => {
                charge.shed().await;
                record_refused_client("idle_connection");
            }
            None => std::future::pending().await,
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let slot = &self.0;
        slot.requests.set(slot.requests.get() - 1);
        slot.request_bytes.set(0);
        if let (Some(charge), 0) = (&slot.charge, slot.requests.get()) {
            charge.shrink_to(CONNECTION_BYTES);
            charge.set_sheddable(true);
        }
    }
}
