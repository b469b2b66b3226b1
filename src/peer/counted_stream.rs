use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use metrics::{Counter, counter};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection to a peer that counts its bytes in `almondroad_peer_bytes_total`.
pub struct CountedStream {
    stream: TcpStream,
    received: Counter,
    sent: Counter,
}

impl CountedStream {
    pub fn new(stream: TcpStream) -> CountedStream {
        CountedStream {
            stream,
            received: counter!("almondroad_peer_bytes_total", "direction" => "received"),
            sent: counter!("almondroad_peer_bytes_total", "direction" => "sent"),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.received.increment((buffer.filled().len() - before) as u64);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.sent.increment(written as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
