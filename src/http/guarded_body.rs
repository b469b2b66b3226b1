use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::http::connection_slot::RequestGuard;
use crate::http::{BrokenStream, ResponseBody};

/// A response body that keeps its request in progress until the connection has taken it.
pub(super) struct GuardedBody {
    body: ResponseBody,
    _request: RequestGuard,
}

impl GuardedBody {
    pub(super) fn new(body: ResponseBody, request: RequestGuard) -> GuardedBody {
        GuardedBody { body, _request: request }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
