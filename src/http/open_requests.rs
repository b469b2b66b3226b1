use std::cell::Cell;
use std::rc::Rc;

use hyper::body::{Body, Incoming};
use hyper::{Request, Version};
use tokio::sync::Notify;

/// Requests of a connection whose responses have not been sent whole yet.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    count: Cell<u32>,
    ended: Notify,
    /// Bytes that have been read from the connection.
    received_bytes: Rc<Cell<u64>>,
    /// `received_bytes` at the end of the last response.
    received_at_end_bytes: Cell<u64>,
    has_sent_ahead: Cell<bool>,
    has_version_2: Cell<bool>,
}

/// One of the open requests, until it is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest {
    requests: Rc<OpenRequests>,
    received_at_start_bytes: u64,
    max_body_bytes: u64,
}

impl OpenRequests {
    pub fn new(received_bytes: Rc<Cell<u64>>) -> OpenRequests {
        OpenRequests { received_bytes, ..OpenRequests::default() }
    }

    pub fn open(self: &Rc<Self>, request: &Request<Incoming>) -> OpenRequest {
        let received_at_start_bytes = self.received_bytes.get();
        self.has_version_2.set(request.version() == Version::HTTP_2);
        self.count.set(self.count.get() + 1);
        if received_at_start_bytes == self.received_at_end_bytes.get() {
            self.has_sent_ahead.set(true);
        }
        OpenRequest {
            requests: Rc::clone(self),
            received_at_start_bytes,
            max_body_bytes: request.body().size_hint().upper().unwrap_or(u64::MAX),
        }
    }

    pub fn is_any(&self) -> bool {
        self.count.get() > 0
    }

    /// Whether the requests came in HTTP/2, which needs no rules on the order of requests.
    pub fn has_version_2(&self) -> bool {
        self.has_version_2.get()
    }

    /// Returns when the last open request has ended since the previous call.
    pub async fn last_ended(&self) {
        self.ended.notified().await;
    }
}

impl OpenRequest {
    /// Whether the caller sends requests before the responses to those before them have ended. Such
    /// requests may have been received and not been handled yet.
    pub fn may_have_successor(&self) -> bool {
        let received_since =
            self.requests.received_bytes.get().saturating_sub(self.received_at_start_bytes);
        self.requests.has_sent_ahead.get() || received_since > self.max_body_bytes
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let requests = &self.requests;
        let left = requests.count.get() - 1;
        requests.count.set(left);
        requests.received_at_end_bytes.set(requests.received_bytes.get());
        if left == 0 {
            requests.ended.notify_one();
        }
    }
}
