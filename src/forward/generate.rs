//! Forwarding of generations, whose answers are event streams.

use std::rc::Rc;

use hyper::Response;
use tokio::sync::mpsc;

use crate::catalog::RowDecoder;
use crate::clock::Clock;
use crate::forward::decode::Opened;
use crate::forward::request_context::RequestContext;
use crate::forward::stream_relay::relay;
use crate::forward::{Codec, EventSplitter, Forwarder, Refusal};
use crate::http::ResponseBody;

/// Capacity of the channel of events to a caller.
const CHANNEL_EVENTS: usize = 16;

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Runs a generation and relays its events to the caller.
    pub(super) async fn run_stream(
        self: &Rc<Self>,
        mut context: RequestContext<C>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let last_event = context.request.generation.as_ref().and_then(|size| size.last_event);
        let splitter = EventSplitter::after(last_event);
        self.record_offered(&context);
        let opened = self.open_stream(&mut context, &splitter, &mut None).await;
        match &opened {
            Ok(_) => self.record_admission(&context, true),
            Err(Refusal::NoCapacity { .. }) => self.record_admission(&context, false),
            Err(_) => {}
        }
        match opened {
            Err(refusal) => {
                context.log.set_outcome(refusal.code());
                Err(refusal)
            }
            Ok(Opened::NonStream(answer)) => {
                let is_success = answer.status().is_success();
                context.log.set_outcome(if is_success { "answered" } else { "error" });
                Ok(answer)
            }
            Ok(Opened::Stream(stream)) => {
                context.log.record_first_response();
                let (events, receiver) = mpsc::channel(CHANNEL_EVENTS);
                let mut answer = Response::new(ResponseBody::Stream(receiver));
                *answer.status_mut() = stream.head.status;
                *answer.headers_mut() = self.codec().response_headers(&stream.head.headers);
                tokio::task::spawn_local(relay(Rc::clone(self), context, *stream, events));
                Ok(answer)
            }
        }
    }
}
