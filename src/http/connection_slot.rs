use std::cell::{Cell, RefCell};
use std::rc::Rc;

use hyper::Request;

use crate::http::memory_account::{MemoryAccount, MemoryCharge};
use crate::http::refused_clients::record_refused_client;
use crate::http::request_memory::{RequestMemory, WeakRequestMemory};

/// Memory of a connection with its task and the first block of its read buffer.
const CONNECTION_BYTES: usize = 24 << 10;
/// Bytes of one request that fit into the first block of the read buffer.
const FIRST_BLOCK_BYTES: usize = 8 << 10;
/// Memory of a connection whose read buffer has grown to its limit. The buffer never shrinks.
const FULL_CONNECTION_BYTES: usize = CONNECTION_BYTES + (32 << 10);
/// Memory of the socket buffers that fill while a client accepts no bytes: its own send buffer, and
/// the receive buffer of the connection to the endpoint.
const BLOCKED_BUFFER_BYTES: usize = 128 << 10;

/// A client's place among the connections of the process. It is shed only while no request of the
/// connection is in progress, or while the client does not accept the response.
pub(super) struct ConnectionSlot {
    /// `None` for servers without a limit.
    charge: Option<MemoryCharge>,
    request_bytes: Cell<usize>,
    /// Charged bytes without the socket buffers of a blocked response.
    own_bytes: Cell<usize>,
    /// The last request, which may still be in progress.
    last_request: RefCell<WeakRequestMemory>,
    is_blocked: Cell<bool>,
}

/// A request in progress, until its response has been passed to the connection.
pub(super) struct RequestGuard(Rc<ConnectionSlot>);

impl ConnectionSlot {
    /// Opens a slot, in place of another one if the account is exhausted. `None` if requests are in
    /// progress on all of them.
    pub(super) fn open(account: Option<&MemoryAccount>) -> Option<Rc<ConnectionSlot>> {
        let charge = match account {
            None => None,
            Some(account) => {
                let charge = account.open_connection(CONNECTION_BYTES);
                if charge.is_none() {
                    record_refused_client("connection_limit");
                }
                Some(charge?)
            }
        };
        Some(Rc::new(ConnectionSlot {
            charge,
            request_bytes: Cell::default(),
            own_bytes: Cell::new(CONNECTION_BYTES),
            last_request: RefCell::default(),
            is_blocked: Cell::default(),
        }))
    }

    pub(super) fn is_limited(&self) -> bool {
        self.charge.is_some()
    }

    /// Counts bytes that were read. Returns whether the account has room for the read buffer.
    pub(super) fn record_read(&self, bytes: usize) -> bool {
        self.request_bytes.set(self.request_bytes.get() + bytes);
        if self.request_bytes.get() > FIRST_BLOCK_BYTES {
            self.own_bytes.set(FULL_CONNECTION_BYTES);
        }
        self.charge_own_bytes("connection_memory")
    }

    /// Records whether the client accepts the bytes of its response. Returns whether the account
    /// has room for what the socket buffers hold meanwhile.
    pub(super) fn set_blocked(&self, is_blocked: bool) -> bool {
        self.is_blocked.set(is_blocked);
        self.last_request.borrow().set_blocked(is_blocked);
        if let (Some(charge), false) = (&self.charge, is_blocked) {
            charge.shrink_to(self.own_bytes.get());
        }
        self.charge_own_bytes("blocked_response")
    }

    /// Charges what the connection holds now. Returns whether the account has room.
    fn charge_own_bytes(&self, refusal_reason: &'static str) -> bool {
        let Some(charge) = &self.charge else { return true };
        let buffer_bytes = if self.is_blocked.get() { BLOCKED_BUFFER_BYTES } else { 0 };
        let has_room = charge.grow_to(self.own_bytes.get() + buffer_bytes);
        if !has_room {
            record_refused_client(refusal_reason);
        }
        has_room
    }

    /// Charges a request whose head has arrived.
    pub(super) fn begin_request<B>(
        self: &Rc<Self>,
        request: &Request<B>,
    ) -> (RequestGuard, RequestMemory) {
        let memory = self
            .charge
            .as_ref()
            .map_or_else(RequestMemory::default, |charge| RequestMemory::open(charge, request));
        let weak = memory.downgrade();
        weak.set_blocked(self.is_blocked.get());
        self.last_request.replace(weak);
        (RequestGuard(Rc::clone(self)), memory)
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
        self.0.request_bytes.set(0);
    }
}
