use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Body of a response: complete, or streamed from a channel. Dropping the body closes the channel,
/// which tells the sender that the caller has disconnected.
#[derive(Debug)]
pub enum ResponseBody {
    Full(Option<Bytes>),
    /// Chunks until the channel closes. An `Err` aborts the connection instead of ending the body.
    Stream(mpsc::Receiver<Result<Bytes, BrokenStream>>),
    /// Blocks that have arrived already, and those that follow until the channel closes.
    Blocks(Blocks),
}

/// Blocks of a body.
#[derive(Debug)]
pub struct Blocks {
    pub received: VecDeque<Bytes>,
    pub rest: Option<mpsc::Receiver<Result<Bytes, BrokenStream>>>,
    /// Length of all blocks together, if it is known.
    pub length_bytes: Option<u64>,
}

/// Error that aborts a streamed body, so that the client detects that it is incomplete.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the stream was aborted")]
pub struct BrokenStream;

impl From<Infallible> for BrokenStream {
    fn from(never: Infallible) -> BrokenStream {
        match never {}
    }
}

impl ResponseBody {
    pub fn empty() -> ResponseBody {
        ResponseBody::Full(None)
    }

    pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Full(Some(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Stream(chunks) => {
                chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
            ResponseBody::Blocks(blocks) => {
                if let Some(block) = blocks.received.pop_front() {
                    return Poll::Ready(Some(Ok(Frame::data(block))));
                }
                let Some(rest) = &mut blocks.rest else { return Poll::Ready(None) };
                rest.poll_recv(cx).map(|block| block.map(|block| block.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.is_none(),
            ResponseBody::Stream(_) => false,
            ResponseBody::Blocks(blocks) => blocks.received.is_empty() && blocks.rest.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
            ResponseBody::Blocks(blocks) => {
                blocks.length_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
