use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::http::open_requests::OpenRequest;
use crate::http::{BrokenStream, ResponseBody};

/// Body of a response whose request stays open until the body has been sent or given up.
#[derive(Debug)]
pub(super) struct TrackedBody {
    body: ResponseBody,
    _request: OpenRequest,
}

impl TrackedBody {
    pub fn new(body: ResponseBody, request: OpenRequest) -> TrackedBody {
        TrackedBody { body, _request: request }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
