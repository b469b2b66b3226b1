use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection that is reset instead of closed when it is dropped after an abort. A response
/// whose end is marked by the end of its connection would otherwise look complete. Counts the bytes
/// that are read.
pub(super) struct AbortableStream {
    stream: TcpStream,
    is_aborted: Rc<Cell<bool>>,
    received_bytes: Rc<Cell<u64>>,
}

impl AbortableStream {
    pub(super) fn new(
        stream: TcpStream,
        is_aborted: Rc<Cell<bool>>,
        received_bytes: Rc<Cell<u64>>,
    ) -> AbortableStream {
        AbortableStream { stream, is_aborted, received_bytes }
    }
}

impl Drop for AbortableStream {
    fn drop(&mut self) {
        if self.is_aborted.get()
            && let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
        {
            log::debug!("failed to reset a connection: {error}");
        }
    }
}

impl AsyncRead for AbortableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let received = buffer.filled().len() - filled_before;
        self.received_bytes.set(self.received_bytes.get() + received as u64);
        polled
    }
}

impl AsyncWrite for AbortableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
