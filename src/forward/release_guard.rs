use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;

use crate::clock::Clock;
use crate::forward::ConnectionPool;

/// Time for an engine to answer that it has freed what was kept. What it does not free lapses.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Something that an engine keeps for a request and that a call frees. Dropping the guard frees
/// it, also when the caller goes away; `keep` is for when the engine has used it.
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
                body.collect().await.ok()?;
                connections.put_idle(connection, &head.headers);
                Some(())
            };
            if !matches!(tokio::time::timeout(RELEASE_TIMEOUT, release).await, Ok(Some(()))) {
                log::info!(target: "forward", address = address.to_string().as_str();
                    "not freed, lapses by itself");
            }
        });
    }
}
