use std::net::SocketAddr;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::http::ResponseBody;

/// Handles the requests received by a server.
#[allow(async_fn_in_trait)]
pub trait Handler: 'static {
    async fn handle(
        &self,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<ResponseBody>;
}
