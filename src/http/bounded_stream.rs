use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::http::connection_slot::ConnectionSlot;
use crate::http::refused_clients::record_refused_client;

/// Time for which a client may accept no bytes of its responses. Clients of the platform give up
/// sooner.
const STALLED_READER_TIMEOUT: Duration = Duration::from_secs(30);

/// A client's connection that reads no further requests while the client does not accept responses,
/// and fails if that lasts too long or its read buffer has no room.
pub(super) struct BoundedStream<S> {
    stream: S,
    slot: Rc<ConnectionSlot>,
    /// Runs while the client accepts no bytes.
    stall: Option<Pin<Box<Sleep>>>,
    /// Wakes the reader when the client accepts bytes again.
    reader: Option<Waker>,
}

impl<S> BoundedStream<S> {
    pub(super) fn new(stream: S, slot: Rc<ConnectionSlot>) -> BoundedStream<S> {
        BoundedStream { stream, slot, stall: None, reader: None }
    }

    /// Records the result of a write.
    fn check_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if !self.slot.is_limited() {
            return written;
        }
        if written.is_ready() {
            if self.stall.take().is_some() {
                self.slot.set_blocked(false);
            }
            if let Some(reader) = self.reader.take() {
                reader.wake();
            }
            return written;
        }
        if self.stall.is_none() && !self.slot.set_blocked(true) {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + STALLED_READER_TIMEOUT)));
        if stall.as_mut().poll(cx).is_ready() {
            record_refused_client("stalled_reader");
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stall.is_some() {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if let Poll::Ready(Ok(())) = read {
            let bytes = buffer.filled().len() - before;
            if bytes > 0 && !self.slot.record_read(bytes) {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_write(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.check_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
