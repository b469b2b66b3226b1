use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::clock::Clock;
use crate::forward::ConnectionPool;
use crate::forward::endpoint_body::read_endpoint_body;

/// Timeout of a release request. A resource that is not released expires at the engine.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Releases a resource that an engine holds for a request, such as a memory reservation or a KV
/// cache, when dropped. This includes the case that the caller disconnects. Call `disarm` once the
/// engine has consumed the resource.
pub(super) struct ReleaseGuard<C: Clock> {
    connections: Rc<ConnectionPool<C>>,
    address: SocketAddr,
    request: Option<Request<Full<Bytes>>>,
}

impl<C: Clock> ReleaseGuard<C> {
    pub fn new(
        connections: &Rc<ConnectionPool<C>>,
        address: SocketAddr,
        request: Option<Request<Full<Bytes>>>,
    ) -> ReleaseGuard<C> {
        ReleaseGuard { connections: Rc::clone(connections), address, request }
    }

    /// Drops the release request, so that the guard does nothing when dropped.
    pub fn disarm(&mut self) {
        self.request = None;
    }
}

impl<C: Clock> Drop for ReleaseGuard<C> {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else { return };
        let (connections, address) = (Rc::clone(&self.connections), self.address);
        tokio::task::spawn_local(async move {
            let release = async {
                let (connection, response) = connections.send(address, request).await.ok()?;
                let (head, body) = response.into_parts();
                read_endpoint_body(body).await.ok()?;
                connections.put_idle(connection, &head.headers);
                Some(())
            };
            if !matches!(tokio::time::timeout(RELEASE_TIMEOUT, release).await, Ok(Some(()))) {
                log::info!(target: "forward", address = address.to_string().as_str();
                    "release failed, resource will expire");
            }
        });
    }
}
