use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr};

use crate::http::HttpError;

type Pool = Client<HttpConnector, Full<Bytes>>;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// HTTP/1.1 client for one server, with pooled connections.
#[derive(Clone)]
pub struct HttpClient {
    address: SmolStr,
    pool: Rc<RefCell<Pool>>,
}

impl HttpClient {
    pub fn new(address: impl Into<SmolStr>) -> HttpClient {
        HttpClient { address: address.into(), pool: Rc::new(RefCell::new(new_pool())) }
    }

    pub fn address(&self) -> &SmolStr {
        &self.address
    }

    /// Drops all pooled connections, so that the next call opens a new one. Called when a
    /// connection stops responding, since others of the same age may have failed with it.
    pub fn reset(&self) {
        *self.pool.borrow_mut() = new_pool();
    }

    /// Sends a request and returns the response head within `limit`. The body is not read yet.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let pool = self.pool.borrow().clone();
        match tokio::time::timeout(limit, pool.request(request)).await {
            Err(_) => Err(HttpError::Timeout { address: self.address.clone() }),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => {
                let reason = error_chain(&error);
                let address = self.address.clone();
                if error.is_connect() {
                    Err(HttpError::Connect { address, reason })
                } else {
                    Err(HttpError::Broken { address, reason })
                }
            }
        }
    }

    /// Sends a JSON request and reads a JSON response within `limit`.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        payload: &Q,
        limit: Duration,
    ) -> Result<A, HttpError> {
        let body = serde_json::to_vec(payload).map_err(|e| self.malformed(&e))?;
        let request = self.request(method, path, body.into())?;
        let exchange = async {
            let response = self.send(request, limit).await?;
            self.read_body(response).await
        };
        let bytes = tokio::time::timeout(limit, exchange)
            .await
            .map_err(|_| HttpError::Timeout { address: self.address.clone() })??;
        serde_json::from_slice(&bytes).map_err(|e| self.malformed(&e))
    }

    /// Builds a request with a JSON body to this server.
    pub fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, HttpError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| self.malformed(&e))
    }

    /// Reads the whole body of a successful response. Other statuses are errors.
    pub async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, HttpError> {
        let status = response.status();
        let bytes = self.read_any_body(response).await?;
        if status.is_success() {
            return Ok(bytes);
        }
        Err(HttpError::Status {
            address: self.address.clone(),
            status: status.as_u16(),
            body: String::from_utf8_lossy(&bytes).trim().into(),
        })
    }

    /// Reads the whole body of a response with any status.
    pub async fn read_any_body(&self, response: Response<Incoming>) -> Result<Bytes, HttpError> {
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        body.map(|body| body.to_bytes()).map_err(|error| HttpError::Broken {
            address: self.address.clone(),
            reason: error.to_smolstr(),
        })
    }

    fn malformed(&self, reason: &impl ToString) -> HttpError {
        HttpError::Malformed { address: self.address.clone(), reason: reason.to_string().into() }
    }
}

fn new_pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector)
}

fn error_chain(error: &dyn std::error::Error) -> SmolStr {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text.into()
}
