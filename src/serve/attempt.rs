use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::budget::Charge;
use crate::clock::{Clock, Instant};
use crate::engine::{DecodeEvent, DecodeRequest, Engine, EngineError, PrefillSource, TokenStream};
use crate::gateway::Node;
use crate::http::HttpError;
use crate::pool::{AttemptEnd, FinishedAttempt, Plan};
use crate::route::{Admitted, report_attempt};
use crate::serve::cleanup::Cleanup;
use crate::serve::prefill::{is_connection_refused, is_process_dead};
use crate::serve::{CompletionCall, LiveAttempt, Outcome, RunEvent};
use crate::units::{AttemptId, EndpointId, ShardId, Tokens};

/// Maximum time between events of a decode stream before its connection is considered silent. Well
/// above the token interval of a cold engine. Also well below 1 s, the period over which the pool's
/// owner observes progress: it treats an engine whose streams stall that long as cold, and new
/// requests are refused.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the engine to start the stream, added to the transfer limit. Three silent connections
/// in succession may delay a request by at most 5 s.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(800);
/// Maximum time for a caller to read one chunk.
const CALLER_READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum reconnections without a new token to an engine that may still hold the attempt.
pub(super) const MAX_RECONNECTS: u32 = 2;

/// Output and timestamps of a request across all its attempts.
#[derive(Debug, Default)]
pub struct RequestProgress {
    pub tokens: Vec<SmolStr>,
    pub prompt_tokens: Tokens,
    pub first_token_at: Option<Instant>,
    pub last_token_at: Option<Instant>,
    /// Whether any engine may have run the request.
    pub was_sent: bool,
}

impl RequestProgress {
    pub fn output_tokens(&self) -> Tokens {
        Tokens(self.tokens.len() as u64)
    }

    /// Outcome to report if the request fails now.
    pub fn outcome(&self) -> Outcome {
        if self.was_sent { Outcome::Run } else { Outcome::NotRun }
    }

    /// Tokens that the request has used of its organisation's budget.
    pub fn used_tokens(&self) -> Tokens {
        self.prompt_tokens + self.output_tokens()
    }
}

/// Why an attempt ended before the response was complete.
#[derive(Debug)]
pub enum AttemptError {
    CallerDisconnected,
    DeadlinePassed,
    /// The endpoint failed; another endpoint may succeed.
    Endpoint {
        endpoint: EndpointId,
        died: bool,
        /// The endpoint refused the connection, so no part of the attempt ran on it.
        is_unreached: bool,
        error: EngineError,
    },
}

/// One attempt to run a request on a reserved prefill and decode pair. Dropping it releases its
/// resources.
pub struct Attempt {
    pub(super) node: Rc<Node>,
    pub(super) id: AttemptId,
    pub(super) shard: ShardId,
    pub(super) plan: Plan,
    pub(super) call: Rc<CompletionCall>,
    proof_tokens: Tokens,
    started_at: Instant,
    is_finished: bool,
}

impl Attempt {
    pub fn new(
        node: Rc<Node>,
        id: AttemptId,
        admitted: Admitted,
        call: Rc<CompletionCall>,
    ) -> Attempt {
        let Admitted { shard, plan, is_suspect, proof_tokens } = admitted;
        let total = call.prompt_tokens_bound() + call.max_output_tokens;
        let live = LiveAttempt {
            shard: shard.clone(),
            organisation: call.organisation.clone(),
            plan: plan.clone(),
            pieces: call.model_limits.pieces_for(total),
            output_tokens: Tokens(0),
            deadline: call.deadline,
            fingerprint: call.fingerprint,
            is_suspect,
            proof_tokens,
        };
        node.running_attempts.insert(&id, live);
        let started_at = node.clock.now();
        Attempt { node, id, shard, plan, call, proof_tokens, started_at, is_finished: false }
    }

    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Runs prefill, transfer and decode, and forwards the tokens. Returns the finish reason.
    pub async fn run(
        &self,
        progress: &mut RequestProgress,
        charge: &Charge,
        events: &mpsc::Sender<RunEvent>,
    ) -> Result<SmolStr, AttemptError> {
        tokio::time::sleep(Duration::from_millis(self.plan.start_after_ms)).await;
        let prefill = self.prefill(progress).await?;
        progress.prompt_tokens = prefill.prompt_tokens - Tokens(progress.tokens.len() as u64);
        // The engine has counted the prompt's tokens; the upper bound derived from its bytes is
        // about three times as high.
        charge.lower_to(progress.prompt_tokens + self.call.max_output_tokens);
        let source =
            PrefillSource { address: self.plan.prefill_address.clone(), handle: prefill.handle };
        let mut source = Some(source);
        let mut reconnects = 0;
        let mut was_silent = false;
        let mut is_unreached = true;
        loop {
            let first_index = progress.tokens.len() as u64;
            let error = match self.decode(source.take(), first_index).await {
                Ok(mut stream) => match self.forward_stream(&mut stream, progress, events).await? {
                    StreamEnd::Done(finish_reason) => return Ok(finish_reason),
                    StreamEnd::Broken(error) => error,
                },
                Err(error) => error,
            };
            self.check_deadline()?;
            is_unreached &= is_connection_refused(&error);
            if progress.tokens.len() as u64 > first_index {
                reconnects = 0;
                was_silent = false;
            }
            // The engine may still hold the attempt, so only the connection is replaced.
            let is_resumable = is_connection_error(&error) && reconnects < MAX_RECONNECTS;
            if !is_resumable {
                // The attempt never reached the engine over the silent connection.
                let is_lost = was_silent && error == EngineError::UnknownAttempt;
                let error = if is_lost { EngineError::NoProgress } else { error };
                return Err(self.decode_error(error, is_unreached).await);
            }
            reconnects += 1;
            was_silent |= error == EngineError::NoProgress;
            self.node.endpoint_clients.get(&self.plan.decode_address).reset_connections();
        }
    }

    async fn decode(
        &self,
        source: Option<PrefillSource>,
        first_index: u64,
    ) -> Result<<crate::engine::HttpEngine as Engine>::Stream, EngineError> {
        let engine = self.node.endpoint_clients.get(&self.plan.decode_address);
        let request = DecodeRequest {
            attempt: self.id.clone(),
            model: self.call.model.clone(),
            prompt: self.call.prompt.clone(),
            source,
            first_index,
            max_output_tokens: self.call.max_output_tokens,
            priority: self.call.priority(),
        };
        let limit = Duration::from_millis(self.plan.transfer_limit_ms) + FIRST_EVENT_MARGIN;
        timeout(limit, engine.decode(&request)).await.unwrap_or(Err(EngineError::NoProgress))
    }

    /// Forwards the stream's tokens until it ends. Drops events of other attempts and repeated
    /// tokens; a gap in the token indexes ends the stream.
    async fn forward_stream(
        &self,
        stream: &mut impl TokenStream,
        progress: &mut RequestProgress,
        events: &mpsc::Sender<RunEvent>,
    ) -> Result<StreamEnd, AttemptError> {
        let transfer_limit = Duration::from_millis(self.plan.transfer_limit_ms);
        let mut limit = transfer_limit + FIRST_EVENT_MARGIN;
        loop {
            let event = match timeout(limit, stream.next()).await {
                Err(_) => return Ok(StreamEnd::Broken(EngineError::NoProgress)),
                Ok(Err(error)) => return Ok(StreamEnd::Broken(error)),
                Ok(Ok(None)) => return Ok(StreamEnd::Broken(EngineError::StreamCut)),
                Ok(Ok(Some(event))) => event,
            };
            self.check_deadline()?;
            if *event.attempt() != self.id {
                metrics::counter!("almondroad_crossed_events_total").increment(1);
                continue;
            }
            limit = TOKEN_TIMEOUT;
            match event {
                DecodeEvent::Imported { .. } => {}
                DecodeEvent::Token { index, text, .. } => {
                    let next_index = progress.tokens.len() as u64;
                    if index > next_index {
                        return Ok(StreamEnd::Broken(EngineError::StreamCut));
                    }
                    if index == next_index {
                        self.forward_token(text, progress, events).await?;
                    }
                }
                DecodeEvent::Done { output_tokens, finish_reason, .. } => {
                    if output_tokens != progress.output_tokens() {
                        return Ok(StreamEnd::Broken(EngineError::StreamCut));
                    }
                    return Ok(StreamEnd::Done(finish_reason));
                }
            }
        }
    }

    async fn forward_token(
        &self,
        text: SmolStr,
        progress: &mut RequestProgress,
        events: &mpsc::Sender<RunEvent>,
    ) -> Result<(), AttemptError> {
        let now = self.node.clock.now();
        self.node.metrics.record_token(&self.call, progress.last_token_at, now);
        progress.first_token_at.get_or_insert(now);
        progress.last_token_at = Some(now);
        progress.tokens.push(text.clone());
        let is_first =
            self.node.running_attempts.record_progress(&self.id, progress.output_tokens());
        if is_first || progress.output_tokens() == self.proof_tokens {
            self.report_suspect_progress();
        }
        match timeout(CALLER_READ_TIMEOUT, events.send(RunEvent::Token(text))).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(AttemptError::CallerDisconnected),
        }
    }

    /// Reports to the pool's owner immediately that the prefill is done, or that a death of the
    /// decode endpoint is no longer attributed to this attempt. Until then a suspect request blocks
    /// other requests and waits for them.
    fn report_suspect_progress(&self) {
        if self.node.suspects.is_empty() {
            return;
        }
        let (node, id) = (Rc::clone(&self.node), self.id.clone());
        tokio::task::spawn_local(async move { report_attempt(&node, &id).await });
    }

    async fn decode_error(&self, error: EngineError, is_unreached: bool) -> AttemptError {
        if error == EngineError::PrefillExpired || error == EngineError::TransferStalled {
            metrics::counter!("almondroad_prefills_wasted_total").increment(1);
        }
        let engine = self.node.endpoint_clients.get(&self.plan.decode_address);
        let died = is_process_dead(&engine, &error).await;
        AttemptError::Endpoint { endpoint: self.plan.decode.clone(), died, is_unreached, error }
    }

    fn check_deadline(&self) -> Result<(), AttemptError> {
        if self.node.clock.now() >= self.call.deadline {
            return Err(AttemptError::DeadlinePassed);
        }
        Ok(())
    }

    /// Ends the attempt and reports its result to the pool's owner. Returns how many endpoints died
    /// while running this prompt.
    pub async fn finish(
        mut self,
        progress: &RequestProgress,
        ended: Result<(), &AttemptError>,
    ) -> u32 {
        self.is_finished = true;
        let (end, endpoint) = match ended {
            Ok(()) => (AttemptEnd::Completed, None),
            Err(AttemptError::CallerDisconnected) => (AttemptEnd::Cancelled, None),
            Err(AttemptError::DeadlinePassed) => (AttemptEnd::Failed, None),
            Err(AttemptError::Endpoint { endpoint, died: true, .. }) => {
                (AttemptEnd::EndpointDied, Some(endpoint.clone()))
            }
            // A silent connection does not count as a failure of the endpoint.
            Err(AttemptError::Endpoint { error: EngineError::NoProgress, .. }) => {
                (AttemptEnd::Failed, None)
            }
            Err(AttemptError::Endpoint { endpoint, error, .. }) => {
                let is_wasted = *error == EngineError::PrefillExpired;
                let end = if is_wasted { AttemptEnd::PrefillWasted } else { AttemptEnd::Failed };
                (end, Some(endpoint.clone()))
            }
        };
        let is_unreached = matches!(ended, Err(AttemptError::Endpoint { is_unreached: true, .. }));
        let first_token_ms =
            progress.first_token_at.map_or(0, |first| first.ms_since(self.started_at));
        let decode_ms = match (progress.first_token_at, progress.last_token_at) {
            (Some(first), Some(last)) => last.ms_since(first.max(self.started_at)),
            _ => 0,
        };
        let finished = FinishedAttempt {
            attempt: self.id.clone(),
            end,
            endpoint,
            is_unreached,
            output_tokens: progress.output_tokens(),
            first_token_ms,
            decode_ms,
        };
        let cleanup = Cleanup::of(&self);
        if end != AttemptEnd::Completed {
            cleanup.cancel_on_engines().await;
        }
        cleanup.finish_at_pool_owner(finished).await
    }
}

/// How a decode stream ended.
enum StreamEnd {
    Done(SmolStr),
    Broken(EngineError),
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let cleanup = Cleanup::of(self);
        let finished = FinishedAttempt {
            attempt: self.id.clone(),
            end: AttemptEnd::Cancelled,
            endpoint: None,
            is_unreached: false,
            output_tokens: Tokens(0),
            first_token_ms: 0,
            decode_ms: 0,
        };
        tokio::task::spawn_local(async move {
            cleanup.cancel_on_engines().await;
            cleanup.finish_at_pool_owner(finished).await;
        });
    }
}

pub(super) fn is_connection_error(error: &EngineError) -> bool {
    matches!(
        error,
        EngineError::StreamCut
            | EngineError::NoProgress
            | EngineError::Http(HttpError::Broken { .. } | HttpError::Timeout { .. })
    )
}
