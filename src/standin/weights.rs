//! Stand-in for the weight store, from which engines load model weights.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::http::{Handler, ResponseBody};
use crate::standin::Standin;
use crate::standin::launch::{launch, spawn_until};
use crate::standin::link::Link;
use crate::standin::response::{build_response, json_with_status, not_found};

const CHUNK_BYTES: u64 = 64 << 10;

/// Settings of the weight store stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// Size of each model's weights.
    pub model_bytes: u64,
    /// Bandwidth of the store, shared by its readers.
    pub bytes_per_s: u64,
}

impl Default for WeightSettings {
    fn default() -> WeightSettings {
        WeightSettings { model_bytes: 16 << 20, bytes_per_s: 16 << 20 }
    }
}

/// Statistics of the weight store stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightStats {
    pub reads: u64,
    pub sent_bytes: u64,
}

struct WeightStore {
    settings: WeightSettings,
    link: Rc<RefCell<Link>>,
    stats: Rc<Cell<WeightStats>>,
    stop: CancellationToken,
}

/// Starts the weight store stand-in on the current `LocalSet`.
pub async fn start_weights(
    listen: SocketAddr,
    settings: WeightSettings,
) -> std::io::Result<Standin> {
    let stop = CancellationToken::new();
    let link = Rc::new(RefCell::new(Link::new(settings.bytes_per_s)));
    let store = WeightStore { settings, link, stats: Rc::default(), stop: stop.clone() };
    launch(listen, Rc::new(store), stop).await
}

impl WeightStore {
    /// Sends the weights in chunks at the link's rate. Chunks of concurrent readers alternate.
    fn send(&self) -> Response<ResponseBody> {
        let (sender, body) = mpsc::channel(1);
        let (link, stats) = (Rc::clone(&self.link), Rc::clone(&self.stats));
        let mut left = self.settings.model_bytes;
        stats.update(|s| WeightStats { reads: s.reads + 1, ..s });
        spawn_until(&self.stop, async move {
            while left > 0 {
                let chunk = left.min(CHUNK_BYTES);
                let sent_at = link.borrow_mut().reserve(chunk);
                tokio::time::sleep_until(sent_at).await;
                if sender.send(Ok(Bytes::from(vec![0; chunk as usize]))).await.is_err() {
                    return;
                }
                left -= chunk;
                stats.update(|s| WeightStats { sent_bytes: s.sent_bytes + chunk, ..s });
            }
        });
        build_response(StatusCode::OK, ResponseBody::Stream(body))
    }
}

impl Handler for WeightStore {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<ResponseBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/stats") => json_with_status(StatusCode::OK, &self.stats.get()),
            (&Method::GET, path)
                if path.strip_prefix("/weights/").is_some_and(|name| !name.is_empty()) =>
            {
                self.send()
            }
            _ => not_found().response(),
        }
    }
}
