//! Starts generations, trying engines until one accepts.

use std::rc::Rc;
use std::time::Duration;

use crate::balance::SendKind;
use crate::catalog::{Endpoint, RowDecoder};
use crate::clock::{Clock, Instant};
use crate::forward::decode::{OpenStream, Opened};
use crate::forward::prefill::Prefill;
use crate::forward::request_context::RequestContext;
use crate::forward::{Codec, EndpointError, EventSplitter, Forwarder, Refusal};
use crate::rollout::AnswerKind;

/// Time for which a stalled stream stays open after its continuation was sent to another engine.
/// Long enough for a rejection, after which the stalled stream is still of use. The engines must not
/// work on the same request for more than 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(150);

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Starts a generation, or continues the stream of `progress`, trying engines until one accepts
    /// it or no attempt is left. Closes `stalled_stream`, an earlier part of the same generation,
    /// before another engine has worked on the request for long.
    pub(super) async fn open_stream(
        &self,
        context: &mut RequestContext<C>,
        progress: &EventSplitter,
        stalled_stream: &mut Option<OpenStream>,
    ) -> Result<Opened, Refusal> {
        let mut prefill: Option<Prefill<K, C>> = None;
        loop {
            let now = self.parts.clock.now();
            if now >= context.deadline {
                return Err(self.deadline_refusal(context));
            }
            // A prefill of a version that no longer gets the request cannot be used.
            let is_usable = self.are_versions_current(context);
            prefill = prefill.filter(|prefill| is_usable && now < prefill.usable_until);
            let plan = self.place(context, prefill.as_ref().map(|prefill| &prefill.zone)).await?;
            self.refuse_if_crashing(context)?;
            let placed_at = self.parts.clock.now();
            if let Some(placement) = &plan.prefill {
                // An engine may have left while the memory was reserved or the prompt was read.
                if !self.may_receive(context, &placement.endpoint) {
                    continue;
                }
                prefill = self.prefill(context, placement).await?;
                if prefill.is_none() {
                    continue;
                }
            }
            self.refuse_if_crashing(context)?;
            let endpoint = Rc::clone(&plan.decode.endpoint);
            if !self.may_receive(context, &endpoint) {
                continue;
            }
            let Some(send) = self.begin_send(context, &endpoint, SendKind::Run) else {
                return Err(self.capacity_refusal(context));
            };
            let source = prefill.as_ref().map(|prefill| prefill.source.clone());
            let decode = self.decode(context, plan, source, progress);
            let result = close_after_overlap(decode, stalled_stream).await;
            self.finish_send(context, &endpoint, send, &result);
            match result {
                Ok(opened) => {
                    if matches!(opened, Opened::Stream(_)) {
                        *stalled_stream = None;
                    }
                    self.record_opened(context, &endpoint, &opened, placed_at);
                    // The decode engine has fetched the KV cache.
                    if let Some(prefill) = &mut prefill {
                        prefill.guard.disarm();
                    }
                    return Ok(opened);
                }
                Err(error) => {
                    if error == EndpointError::NotRun {
                        self.record_endpoint_full(&endpoint.id);
                    }
                    self.record_endpoint_failure(context, &endpoint, &error);
                    if !error.is_not_run() {
                        // The request has gone on at this engine, even if that has ended.
                        *stalled_stream = None;
                        context.charge.has_run = true;
                        context.runs += 1;
                        prefill = None;
                        if !context.may_run_again() {
                            return Err(Refusal::ResponseLost);
                        }
                    }
                }
            }
        }
    }

    /// Whether the chosen endpoint is still in service and of a version that gets the request.
    fn may_receive(&self, context: &RequestContext<C>, endpoint: &Endpoint) -> bool {
        let now = self.parts.clock.now();
        self.parts.balancer.borrow().may_receive(endpoint, now)
            && self.are_versions_current(context)
    }

    /// Counts an opened stream for the roll-out of its service.
    fn record_opened(
        &self,
        context: &RequestContext<C>,
        endpoint: &Endpoint,
        opened: &Opened,
        placed_at: Instant,
    ) {
        let kind = match opened {
            Opened::NonStream(answer) if answer.status().is_server_error() => AnswerKind::Bad,
            Opened::NonStream(_) => AnswerKind::Good { latency_ms: None },
            Opened::Stream(_) => {
                let latency_ms = self.parts.clock.now().ms_since(placed_at);
                AnswerKind::Good { latency_ms: Some(latency_ms) }
            }
        };
        self.record_version_answer(context, endpoint, kind);
    }
}

/// Waits for the start of a continuation, and closes the stalled stream if that takes long.
async fn close_after_overlap<T>(
    continuation: impl Future<Output = T>,
    stalled_stream: &mut Option<OpenStream>,
) -> T {
    tokio::pin!(continuation);
    if stalled_stream.is_some() {
        match tokio::time::timeout(MAX_OVERLAP, &mut continuation).await {
            Ok(started) => return started,
            Err(_) => *stalled_stream = None,
        }
    }
    continuation.await
}
