use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::catalog::Endpoint;
use crate::clock::Clock;
use crate::forward::{Codec, EndpointClient};

/// Timeout of a release request. A resource that is not released expires at the engine.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Releases a resource that an engine holds for a request, such as a memory reservation or a KV
/// cache, when dropped. This includes the case that the caller disconnects. Call `disarm` once the
/// engine has consumed the resource.
pub(super) struct ReleaseGuard<K: Codec, C: Clock> {
    endpoints: Rc<EndpointClient<K, C>>,
    endpoint: Rc<Endpoint>,
    request: Option<Request<Full<Bytes>>>,
}

impl<K: Codec, C: Clock> ReleaseGuard<K, C> {
    pub fn new(
        endpoints: &Rc<EndpointClient<K, C>>,
        endpoint: &Rc<Endpoint>,
        request: Option<Request<Full<Bytes>>>,
    ) -> ReleaseGuard<K, C> {
        ReleaseGuard { endpoints: Rc::clone(endpoints), endpoint: Rc::clone(endpoint), request }
    }

    /// Drops the release request, so that the guard does nothing when dropped.
    pub fn disarm(&mut self) {
        self.request = None;
    }
}

impl<K: Codec, C: Clock> Drop for ReleaseGuard<K, C> {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else { return };
        let (endpoints, endpoint) = (Rc::clone(&self.endpoints), Rc::clone(&self.endpoint));
        tokio::task::spawn_local(async move {
            if let Err(error) = endpoints.call(&endpoint, request, RELEASE_TIMEOUT).await {
                log::info!(target: "forward", endpoint = endpoint.id.as_str(),
                    error = error.to_string().as_str();
                    "release failed, resource will expire");
            }
        });
    }
}
