use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;
use tokio::sync::mpsc::{self, Receiver, Sender};

use crate::catalog::Endpoint;
use crate::clock::{Clock, Instant};
use crate::forward::connection::Connection;
use crate::forward::endpoint_body::MAX_RESPONSE_BYTES;
use crate::forward::request_context::LoadGuard;
use crate::forward::response_memory::grow_when_free;
use crate::forward::{Codec, EndpointClient};
use crate::http::{BrokenStream, RequestMemory};

type BlockSender = Sender<Result<Bytes, BrokenStream>>;

/// Passes the rest of a response to its caller as it arrives, for which there was no memory as a
/// whole. The endpoint is read no faster than the caller reads.
pub(super) struct RestRelay<K, C: Clock> {
    pub endpoints: Rc<EndpointClient<K, C>>,
    pub endpoint: Rc<Endpoint>,
    pub connection: Connection,
    pub headers: HeaderMap,
    pub body: Incoming,
    /// Bytes of the body that have arrived before.
    pub received_bytes: usize,
    pub memory: RequestMemory,
    pub deadline: Instant,
    pub clock: C,
    pub _load: Option<LoadGuard>,
}

impl<K: Codec, C: Clock> RestRelay<K, C> {
    /// Starts to pass on blocks, first `data`, which has arrived already.
    pub fn start(mut self, data: Bytes) -> Receiver<Result<Bytes, BrokenStream>> {
        let (blocks, receiver) = mpsc::channel(1);
        tokio::task::spawn_local(async move {
            match self.relay(data, &blocks).await {
                Ok(()) => self.endpoints.keep(&self.endpoint, self.connection, &self.headers),
                // Closing the channel would end the response as if it were complete. The error is
                // ignored: the caller may have disconnected.
                Err(broken) => drop(blocks.send(Err(broken)).await),
            }
        });
        receiver
    }

    async fn relay(&mut self, data: Bytes, blocks: &BlockSender) -> Result<(), BrokenStream> {
        self.send(data, blocks).await?;
        loop {
            let limit = self.deadline.remaining(self.clock.now());
            let frame = tokio::select! {
                frame = tokio::time::timeout(limit, self.body.frame()) => frame,
                () = blocks.closed() => return Err(BrokenStream),
            };
            let data = match frame.map_err(|_| BrokenStream)? {
                None => return Ok(()),
                Some(Err(error)) => {
                    log::info!(target: "forward", endpoint = self.endpoint.id.as_str(),
                        error = error.to_string().as_str(); "response broke off");
                    return Err(BrokenStream);
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.received_bytes += data.len();
            if self.received_bytes > MAX_RESPONSE_BYTES {
                return Err(BrokenStream);
            }
            self.send(data, blocks).await?;
        }
    }

    async fn send(&self, data: Bytes, blocks: &BlockSender) -> Result<(), BrokenStream> {
        let mut held = self.memory.begin_part();
        let has_room = tokio::select! {
            has_room = grow_when_free(&mut held, data.len(), self.deadline, &self.clock) => has_room,
            () = blocks.closed() => return Err(BrokenStream),
        };
        if !has_room {
            return Err(BrokenStream);
        }
        let block = held.into_bytes(data.to_vec());
        drop(data);
        let limit = self.deadline.remaining(self.clock.now());
        let sent = tokio::time::timeout(limit, blocks.send(Ok(block))).await;
        sent.map_err(|_| BrokenStream)?.map_err(|_| BrokenStream)
    }
}
