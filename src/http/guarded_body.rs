use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::http::{BrokenStream, ResponseBody};

/// A response body that keeps the guards of its request until it has been sent or given up.
pub(super) struct GuardedBody<G> {
    body: ResponseBody,
    _guards: G,
}

impl<G> GuardedBody<G> {
    pub(super) fn new(body: ResponseBody, guards: G) -> GuardedBody<G> {
        GuardedBody { body, _guards: guards }
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
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
