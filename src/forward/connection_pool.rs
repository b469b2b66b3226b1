use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Request, Response};
use metrics::counter;

use crate::clock::{Clock, Instant};
use crate::forward::EndpointError;
use crate::forward::connection::{Connection, SendError};

/// Maximum number of idle connections for each endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;
/// Time for which an idle connection may be reused if the endpoint sends no keep-alive timeout.
const DEFAULT_REUSE_MS: u64 = 4_000;
/// Fraction of the endpoint's idle timeout for which a connection may be reused. The margin avoids
/// sending a request while the endpoint closes the connection.
const REUSE_FRACTION: f64 = 0.6;

/// Pool of connections to endpoints. Each connection carries one request at a time.
pub struct ConnectionPool<C> {
    clock: C,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl<C: Clock> ConnectionPool<C> {
    pub fn new(clock: C) -> ConnectionPool<C> {
        ConnectionPool { clock, idle: RefCell::default() }
    }

    /// Sends a request on an idle connection, or on a new one if none is usable.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), EndpointError> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(address) {
            match connection.send(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(SendError::Broken { reason }) => return Err(EndpointError::Broken { reason }),
                Err(SendError::NotSent(unsent)) => request = *unsent,
            }
        }
        self.send_on_new(address, request).await
    }

    /// Sends a request on a new connection, on which no late response to an earlier request can
    /// arrive.
    pub async fn send_on_new(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Incoming>), EndpointError> {
        let mut connection = Connection::open(address).await?;
        counter!("almondroad_endpoint_connections_total").increment(1);
        match connection.send(request).await {
            Ok(response) => Ok((connection, response)),
            Err(SendError::NotSent(_)) => {
                Err(EndpointError::NotSent { reason: "new connection closed".into() })
            }
            Err(SendError::Broken { reason }) => Err(EndpointError::Broken { reason }),
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() && now < connection.reuse_until {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn put_idle(&self, mut connection: Connection, headers: &HeaderMap) {
        let closes = headers.get(CONNECTION).is_some_and(|value| {
            value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
        });
        if closes {
            return;
        }
        connection.reuse_until = self.clock.now().plus_ms(reuse_ms(headers));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an endpoint that failed or left. If one connection has
    /// stopped responding, others of the same age may have too.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that are past their reuse time or were closed by the endpoint.
    pub fn close_expired(&self) {
        let now: Instant = self.clock.now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_ready() && now < connection.reuse_until);
            !connections.is_empty()
        });
    }
}

/// Returns the reuse time from the `Keep-Alive` header of a response.
fn reuse_ms(headers: &HeaderMap) -> u64 {
    let timeout_s = headers.get("keep-alive").and_then(|value| {
        let value = value.to_str().ok()?;
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<f64>().ok()
    });
    timeout_s.map_or(DEFAULT_REUSE_MS, |seconds| (seconds * 1000.0 * REUSE_FRACTION) as u64)
}
