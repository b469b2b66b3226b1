use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use bytes::Bytes;
use hyper::Request;

use crate::http::MemoryCharge;

/// Memory of a parsed field of a head and of its copy, without its text.
const FIELD_BYTES: usize = 512;
/// Memory of a head and of what is parsed from it, as a multiple of its text.
const HEAD_FACTOR: usize = 4;
/// Memory of a forwarded request besides its head, body and response: tasks, the connection to its
/// endpoint and its read buffers.
const FORWARDING_BYTES: usize = 40 << 10;
/// Part of the response that a forwarded request may always hold, so that each response makes
/// progress.
const WINDOW_BYTES: usize = 24 << 10;

/// Memory that is held for a request: its head, body and response. Requests of servers without an
/// account are not limited.
#[derive(Clone, Debug, Default)]
pub struct RequestMemory(Option<Arc<RequestCharge>>);

#[derive(Debug)]
struct RequestCharge {
    charge: MemoryCharge,
    sizes: Mutex<Sizes>,
}

#[derive(Debug, Default)]
struct Sizes {
    overhead_bytes: usize,
    /// Part of `held_bytes` that is charged in any case.
    window_bytes: usize,
    held_bytes: usize,
}

/// A part of a request's memory, returned on drop.
#[derive(Debug)]
pub struct HeldMemory {
    memory: RequestMemory,
    bytes: usize,
}

/// Bytes whose memory is held until the last reference to them is dropped.
struct HeldBytes {
    bytes: Bytes,
    _held: HeldMemory,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Estimates the memory of a request's head and of what is parsed from it.
fn head_memory_bytes<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let headers = request.headers();
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    HEAD_FACTOR * (target + fields.sum::<usize>()) + FIELD_BYTES * headers.len()
}

impl RequestMemory {
    /// Charges the head of a request on a connection.
    pub(super) fn open<B>(connection: &MemoryCharge, request: &Request<B>) -> RequestMemory {
        let head_bytes = head_memory_bytes(request);
        let charge = connection.open_request(head_bytes);
        let sizes = Sizes { overhead_bytes: head_bytes, ..Sizes::default() };
        RequestMemory(Some(Arc::new(RequestCharge { charge, sizes: Mutex::new(sizes) })))
    }

    /// Reserves the memory of forwarding the request. Returns whether there is room.
    pub fn reserve_forwarding(&self) -> bool {
        self.reserve(FORWARDING_BYTES, 0)
    }

    /// Reserves the part of the response that may always be held, beside the body of the request.
    /// Returns whether there is room.
    pub fn reserve_window(&self) -> bool {
        self.reserve(0, WINDOW_BYTES)
    }

    fn reserve(&self, overhead_bytes: usize, window_bytes: usize) -> bool {
        let Some(request) = &self.0 else { return true };
        let mut sizes = request.lock();
        let overhead_bytes = sizes.overhead_bytes + overhead_bytes;
        let window_bytes = sizes.held_bytes + window_bytes;
        if !request.charge.grow_to(overhead_bytes + window_bytes) {
            return false;
        }
        sizes.overhead_bytes = overhead_bytes;
        sizes.window_bytes = window_bytes;
        true
    }

    /// Begins a part that holds nothing yet.
    pub fn begin_part(&self) -> HeldMemory {
        HeldMemory { memory: self.clone(), bytes: 0 }
    }

    /// Holds `bytes` more if there is room; sheds no other requests.
    pub fn hold(&self, bytes: usize) -> Option<HeldMemory> {
        let mut part = self.begin_part();
        part.try_grow_to(bytes).then_some(part)
    }

    /// Holds a copy of `bytes` if there is room. The copy frees the buffer that they are part of.
    pub fn copy(&self, bytes: &[u8]) -> Option<Bytes> {
        Some(self.hold(bytes.len())?.into_bytes(bytes.to_vec()))
    }

    /// Sets whether the request has not arrived completely. It may then be shed.
    pub fn set_arriving(&self, is_arriving: bool) {
        if let Some(request) = &self.0 {
            request.charge.set_arriving(is_arriving);
        }
    }

    /// Completes when the request has been shed.
    pub async fn shed(&self) {
        match &self.0 {
            Some(request) => request.charge.shed().await,
            None => std::future::pending().await,
        }
    }

    /// A reference that does not keep the memory charged.
    pub(super) fn downgrade(&self) -> WeakRequestMemory {
        WeakRequestMemory(self.0.as_ref().map(Arc::downgrade).unwrap_or_default())
    }
}

/// Reference to a request's memory that does not keep it charged.
#[derive(Debug, Default)]
pub(super) struct WeakRequestMemory(Weak<RequestCharge>);

impl WeakRequestMemory {
    /// Sets whether the client does not accept the response. Its connection may then be closed.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        if let Some(request) = self.0.upgrade() {
            request.charge.set_blocked(is_blocked);
        }
    }
}

impl RequestCharge {
    fn lock(&self) -> MutexGuard<'_, Sizes> {
        self.sizes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HeldMemory {
    /// Raises the part to `bytes`, and sheds other requests for it. Returns whether there is room.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        self.raise_to(bytes, MemoryCharge::grow_to)
    }

    /// Does the same without shedding others.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        self.raise_to(bytes, MemoryCharge::try_grow_to)
    }

    fn raise_to(&mut self, bytes: usize, grow: impl Fn(&MemoryCharge, usize) -> bool) -> bool {
        let more_bytes = bytes.saturating_sub(self.bytes);
        if let Some(request) = &self.memory.0 {
            let mut sizes = request.lock();
            let held_bytes = sizes.held_bytes + more_bytes;
            let is_in_window = held_bytes <= sizes.window_bytes;
            if !is_in_window && !grow(&request.charge, sizes.overhead_bytes + held_bytes) {
                return false;
            }
            sizes.held_bytes = held_bytes;
        }
        self.bytes += more_bytes;
        true
    }

    /// Splits off a part of `bytes`.
    pub fn split(&mut self, bytes: usize) -> HeldMemory {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        HeldMemory { memory: self.memory.clone(), bytes }
    }

    /// Returns `bytes` with this memory, which is held until they are dropped.
    pub fn into_bytes(self, bytes: impl Into<Bytes>) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes: bytes.into(), _held: self })
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        if let (Some(request), 1..) = (&self.memory.0, self.bytes) {
            let mut sizes = request.lock();
            let was_above = sizes.held_bytes > sizes.window_bytes;
            sizes.held_bytes -= self.bytes;
            if was_above {
                let charged_bytes = sizes.held_bytes.max(sizes.window_bytes);
                request.charge.shrink_to(sizes.overhead_bytes + charged_bytes);
            }
        }
    }
}
