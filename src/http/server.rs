//! HTTP/1.1 and HTTP/2 server with optional TLS and graceful shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::http::abortable_stream::AbortableStream;
use crate::http::bounded_stream::BoundedStream;
use crate::http::connection_slot::ConnectionSlot;
use crate::http::guarded_body::GuardedBody;
use crate::http::held_response::hold_response;
use crate::http::open_requests::OpenRequests;
use crate::http::{Handler, LocalExecutor, MemoryAccount, ServeOptions, Transport};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Socket buffers of a connection whose server has limits; the kernel doubles them. It would otherwise
/// buffer megabytes for each client that does not read.
const SEND_BUFFER_BYTES: usize = 32 << 10;
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections, each in its own task, until `shutdown` becomes true or its sender is
/// dropped. Then shuts them down gracefully and returns when all have ended.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    shutdown: watch::Receiver<bool>,
) {
    serve_with(listener, Transport::Plain, ServeOptions::default(), handler, shutdown).await;
}

/// Like `serve`, with the given transport and options.
pub async fn serve_with<H: Handler>(
    listener: TcpListener,
    transport: Transport,
    options: ServeOptions,
    handler: Rc<H>,
    shutdown: watch::Receiver<bool>,
) {
    let mut stop = shutdown.clone();
    let mut connections = JoinSet::new();
    let account = options.account.as_ref();
    if account.is_some()
        && let Err(error) = bound_socket_buffers(&listener)
    {
        log::warn!("failed to bound the buffers of connections: {error}");
    }
    let start_connection = |(stream, remote), slot| {
        let (transport, handler, stop) = (transport.clone(), Rc::clone(&handler), shutdown.clone());
        accept_connection(stream, slot, transport, options.clone(), remote, handler, stop)
    };
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => {
                    if let Some(slot) = ConnectionSlot::open(account) {
                        connections.spawn_local(start_connection(accepted, slot));
                    }
                    // Connections that made room are closed before the next one is accepted, so
                    // that their descriptors and memory do not add up.
                    while account.is_some_and(MemoryAccount::has_shed_charges) {
                        tokio::task::yield_now().await;
                    }
                }
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = stop.wait_for(|stop| *stop) => break,
            Some(_) = connections.join_next() => {}
        }
    }
    // Callers whose connections the kernel has accepted may have sent requests already.
    while let Some(Ok(accepted)) = listener.accept().now_or_never() {
        if let Some(slot) = ConnectionSlot::open(account) {
            connections.spawn_local(start_connection(accepted, slot));
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Sets the size of the buffers that accepted connections inherit.
fn bound_socket_buffers(listener: &TcpListener) -> std::io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
}

async fn accept_connection<H: Handler>(
    stream: TcpStream,
    slot: Rc<ConnectionSlot>,
    transport: Transport,
    options: ServeOptions,
    remote: SocketAddr,
    handler: Rc<H>,
    shutdown: watch::Receiver<bool>,
) {
    // Token streams consist of small writes; Nagle's algorithm would delay them and increase the
    // time between tokens.
    let _ = stream.set_nodelay(true);
    let is_aborted = Rc::new(Cell::new(false));
    let received_bytes = Rc::default();
    let requests = Rc::new(OpenRequests::new(Rc::clone(&received_bytes)));
    let stream = AbortableStream::new(stream, Rc::clone(&is_aborted), received_bytes);
    let ends = ConnectionEnds { is_aborted: &is_aborted, requests, shutdown };
    let Transport::Tls(acceptor) = transport else {
        let stream = BoundedStream::new(stream, Rc::clone(&slot));
        return serve_connection(stream, &slot, options, remote, handler, ends).await;
    };
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => {
            let stream = BoundedStream::new(stream, Rc::clone(&slot));
            serve_connection(stream, &slot, options, remote, handler, ends).await;
        }
        Ok(Err(error)) => log::debug!("TLS handshake with {remote} failed: {error}"),
        Err(_) => log::debug!("TLS handshake with {remote} timed out"),
    }
}

/// What decides how a connection ends.
struct ConnectionEnds<'a> {
    /// Set if a response whose end is marked by the end of the connection was broken off.
    is_aborted: &'a Cell<bool>,
    requests: Rc<OpenRequests>,
    shutdown: watch::Receiver<bool>,
}

/// Serves the requests of one connection. After the shutdown it is closed as soon as no response is
/// being sent: hyper drops a request that it has received behind the one whose response is the last.
async fn serve_connection<S, H>(
    stream: S,
    slot: &Rc<ConnectionSlot>,
    options: ServeOptions,
    remote: SocketAddr,
    handler: Rc<H>,
    ends: ConnectionEnds<'_>,
) where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    H: Handler,
{
    let ConnectionEnds { is_aborted, requests, mut shutdown } = ends;
    let mut builder = auto::Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(options.head_timeout_ms))
        .max_buf_size(MAX_HEADER_BYTES);
    if !options.enable_http2 {
        builder = builder.http1_only();
    }
    builder.http2().timer(TokioTimer::new()).max_header_list_size(MAX_HEADER_BYTES as u32);
    let is_end_unmarked = Rc::new(Cell::new(false));
    let version_seen = Rc::clone(&is_end_unmarked);
    let opened = Rc::clone(&requests);
    let is_stopping = Rc::new(Cell::new(false));
    let is_last = Rc::clone(&is_stopping);
    let service = service_fn(move |mut request: Request<Incoming>| {
        version_seen.set(request.version() < Version::HTTP_11);
        let (handler, is_last) = (Rc::clone(&handler), Rc::clone(&is_last));
        let open_request = opened.open(&request);
        let (guard, memory) = slot.begin_request(&request);
        request.extensions_mut().insert(memory.clone());
        let version = request.version();
        async move {
            let mut response = hold_response(handler.handle(request, remote).await, &memory);
            if version < Version::HTTP_2 && open_request.may_have_successor() {
                // hyper would drop the requests that are still to be answered.
                response.headers_mut().remove(CONNECTION);
            } else if version < Version::HTTP_2 && is_last.get() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, (open_request, guard))))
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            () = slot.shed() => return,
            served = connection.as_mut() => {
                if let Err(error) = served {
                    is_aborted.set(is_end_unmarked.get());
                    log::debug!("connection from {remote} ended: {error}");
                }
                return;
            }
            _ = shutdown.wait_for(|stop| *stop), if !is_stopping.get() => is_stopping.set(true),
            () = requests.last_ended(), if is_stopping.get() && !is_closing => {}
        }
        if is_stopping.get() && !is_closing && (requests.has_version_2() || !requests.is_any()) {
            is_closing = true;
            connection.as_mut().graceful_shutdown();
        }
    }
}
