use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use smol_str::{SmolStr, ToSmolStr};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::clock::Instant;
use crate::forward::EndpointError;

/// Timeout for opening a TCP connection. A round trip within a region takes a few milliseconds, and
/// the kernel retransmits a lost SYN after 1 s at the earliest.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which a connection is closed if the peer has not acknowledged sent data
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest read buffer, and so the largest head of a response and the largest part of a body that
/// arrives at once. Each request in progress may have one.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Receive buffer of the socket, which the kernel doubles. It fills while the caller does not read.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Number of unanswered keepalive probes after which a connection without outgoing data is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Returns whether nothing listens at an address any more. A machine that does not respond may still
/// run its processes.
pub(super) async fn is_refused(address: SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// An HTTP/1.1 connection to an endpoint that carries one request at a time. Dropping it closes the
/// connection immediately, which makes the endpoint abort the request.
pub struct Connection {
    pub address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    pub reuse_until: Instant,
    /// Number of requests sent on this connection.
    requests: u32,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Result<Connection, EndpointError> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Err(_) => return Err(EndpointError::NotSent { reason: "connect timed out".into() }),
            Ok(Err(error)) => return Err(EndpointError::NotSent { reason: error.to_smolstr() }),
            Ok(Ok(stream)) => stream,
        };
        if let Err(error) = set_options(&stream) {
            log::debug!(target: "forward", "failed to set socket options: {error}");
        }
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| EndpointError::NotSent { reason: error.to_smolstr() })?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::trace!(target: "forward", "connection to {address} ended: {error}");
            }
        });
        let reuse_until = Instant::default();
        Ok(Connection { address, sender, task, reuse_until, requests: 0 })
    }

    /// Returns whether the connection can send a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether the last request was the first one on this connection. Its response cannot be a
    /// repeated response to an earlier request.
    pub fn is_first_use(&self) -> bool {
        self.requests <= 1
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.requests += 1;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent(Box::new(request))),
                None => Err(SendError::Broken { reason: error.into_error().to_smolstr() }),
            },
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Error of sending a request on a connection.
pub enum SendError {
    /// The request was not written to the connection and is returned.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The connection failed after the request was written.
    Broken { reason: SmolStr },
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
