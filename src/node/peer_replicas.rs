use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderValue};
use smol_str::{ToSmolStr, format_smolstr};

use crate::http::HttpClient;
use crate::node::node_handler::{DEFLATE, REPLICA_PATH_PREFIX, snapshot_encoding};
use crate::replica::{PeerSource, PeerTransfer, SnapshotEncoding, SourceError, Topic};

/// Time until the head of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Replicas that peers serve over HTTP, all at the same port.
pub(super) struct PeerReplicas {
    port: u16,
}

/// The body of a peer's response.
pub(super) struct HttpTransfer {
    body: Incoming,
    encoding: SnapshotEncoding,
}

impl PeerReplicas {
    pub(super) fn new(port: u16) -> PeerReplicas {
        PeerReplicas { port }
    }
}

impl PeerSource for PeerReplicas {
    type Transfer = HttpTransfer;

    async fn open(&self, peer: Ipv4Addr, topic: Topic) -> Result<HttpTransfer, SourceError> {
        let client = HttpClient::new(format!("{peer}:{}", self.port));
        let path = format!("{REPLICA_PATH_PREFIX}{topic}");
        let mut request = client.request(Method::GET, &path, Bytes::new()).map_err(unavailable)?;
        request.headers_mut().insert(ACCEPT_ENCODING, HeaderValue::from_static(DEFLATE));
        let response = client.send(request, RESPONSE_TIMEOUT).await.map_err(unavailable)?;
        if !response.status().is_success() {
            let reason = format_smolstr!("status {}", response.status());
            return Err(SourceError::Unavailable { reason });
        }
        let encoding = snapshot_encoding(response.headers(), &CONTENT_ENCODING);
        Ok(HttpTransfer { body: response.into_body(), encoding })
    }
}

impl PeerTransfer for HttpTransfer {
    fn encoding(&self) -> SnapshotEncoding {
        self.encoding
    }

    async fn next_part(&mut self) -> Option<Result<Bytes, SourceError>> {
        let frame = self.body.frame().await?;
        Some(frame.map(|frame| frame.into_data().unwrap_or_default()).map_err(unavailable))
    }
}

fn unavailable(error: impl ToSmolStr) -> SourceError {
    SourceError::Unavailable { reason: error.to_smolstr() }
}
