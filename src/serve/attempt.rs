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
use crate::serve::prefill::{is_dead, is_refused};
use crate::serve::{Call, LiveAttempt, Outcome, RunEvent};
use crate::units::{AttemptId, EndpointId, ShardId, Tokens};

/// Longest silence of a decode stream before its connection counts as silent. Well above the
/// time between tokens of a cold engine, and well below the second over which the pool's owner
/// observes progress: it takes an engine whose streams stall for that long for a cold one, and
/// new requests are refused.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Added to the transfer's limit for the engine to start the stream. Three silent connections,
/// one after the other, must leave a request within 5 s.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(800);
/// Longest time that a caller may take to read one chunk.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);
/// Reconnections without progress to an engine that may still hold the attempt.
pub(super) const MAX_RECONNECTS: u32 = 2;

/// What a request has produced so far, over all its attempts.
#[derive(Debug, Default)]
pub struct Produced {
    pub tokens: Vec<SmolStr>,
    pub prompt_tokens: Tokens,
    pub first_token_at: Option<Instant>,
    pub last_token_at: Option<Instant>,
    /// Whether any engine may have run the request.
    pub was_sent: bool,
}

impl Produced {
    pub fn output_tokens(&self) -> Tokens {
        Tokens(self.tokens.len() as u64)
    }

    /// The outcome if the request ended now.
    pub fn outcome(&self) -> Outcome {
        if self.was_sent { Outcome::Run } else { Outcome::NotRun }
    }

    /// Tokens that the request has used of its organisation's budget.
    pub fn used_tokens(&self) -> Tokens {
        self.prompt_tokens + self.output_tokens()
    }
}

/// Why an attempt ended without the whole answer.
#[derive(Debug)]
pub enum AttemptError {
    CallerGone,
    DeadlinePassed,
    /// The endpoint failed; another may do better.
    Endpoint {
        endpoint: EndpointId,
        died: bool,
        /// It refused the connection, so that nothing of the attempt ran on it.
        is_unreached: bool,
        error: EngineError,
    },
}

/// One attempt of a request on a reserved pair. Dropping it frees what it holds.
pub struct Attempt {
    pub(super) node: Rc<Node>,
    pub(super) id: AttemptId,
    pub(super) shard: ShardId,
    pub(super) plan: Plan,
    pub(super) call: Rc<Call>,
    proof_tokens: Tokens,
    started_at: Instant,
    is_finished: bool,
}

impl Attempt {
    pub fn new(node: Rc<Node>, id: AttemptId, admitted: Admitted, call: Rc<Call>) -> Attempt {
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
        node.live.insert(&id, live);
        let started_at = node.clock.now();
        Attempt { node, id, shard, plan, call, proof_tokens, started_at, is_finished: false }
    }

    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Runs prefill, transfer and decode, and sends the tokens on. Returns the finish reason.
    pub async fn run(
        &self,
        produced: &mut Produced,
        charge: &Charge,
        events: &mpsc::Sender<RunEvent>,
    ) -> Result<SmolStr, AttemptError> {
        tokio::time::sleep(Duration::from_millis(self.plan.start_after_ms)).await;
        let prefill = self.prefill(produced).await?;
        produced.prompt_tokens = prefill.prompt_tokens - Tokens(produced.tokens.len() as u64);
        // The engine has counted the prompt; the upper bound by its bytes is about three times that.
        charge.lower_to(produced.prompt_tokens + self.call.max_output_tokens);
        let source =
            PrefillSource { address: self.plan.prefill_address.clone(), handle: prefill.handle };
        let mut source = Some(source);
        let mut reconnects = 0;
        let mut was_silent = false;
        let mut is_unreached = true;
        loop {
            let first_index = produced.tokens.len() as u64;
            let error = match self.decode(source.take(), first_index).await {
                Ok(mut stream) => match self.pump(&mut stream, produced, events).await? {
                    Pumped::Done(finish_reason) => return Ok(finish_reason),
                    Pumped::Broken(error) => error,
                },
                Err(error) => error,
            };
            self.check_deadline()?;
            is_unreached &= is_refused(&error);
            if produced.tokens.len() as u64 > first_index {
                reconnects = 0;
                was_silent = false;
            }
            // The engine may still hold the attempt, so only the connection is replaced.
            let is_resumable = is_connection_error(&error) && reconnects < MAX_RECONNECTS;
            if !is_resumable {
                // The attempt never reached the engine over the silent connection.
                let is_lost = was_silent && error == EngineError::UnknownAttempt;
                let error = if is_lost { EngineError::NoProgress } else { error };
                return Err(self.decode_failed(error, is_unreached).await);
            }
            reconnects += 1;
            was_silent |= error == EngineError::NoProgress;
            self.node.engines.get(&self.plan.decode_address).reset_connections();
        }
    }

    async fn decode(
        &self,
        source: Option<PrefillSource>,
        first_index: u64,
    ) -> Result<<crate::engine::HttpEngine as Engine>::Stream, EngineError> {
        let engine = self.node.engines.get(&self.plan.decode_address);
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

    /// Passes the stream's tokens on until it ends. Events of other attempts, repeated tokens
    /// and tokens out of order are dropped.
    async fn pump(
        &self,
        stream: &mut impl TokenStream,
        produced: &mut Produced,
        events: &mpsc::Sender<RunEvent>,
    ) -> Result<Pumped, AttemptError> {
        let transfer_limit = Duration::from_millis(self.plan.transfer_limit_ms);
        let mut limit = transfer_limit + FIRST_EVENT_MARGIN;
        loop {
            let event = match timeout(limit, stream.next()).await {
                Err(_) => return Ok(Pumped::Broken(EngineError::NoProgress)),
                Ok(Err(error)) => return Ok(Pumped::Broken(error)),
                Ok(Ok(None)) => return Ok(Pumped::Broken(EngineError::StreamCut)),
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
                    let next_index = produced.tokens.len() as u64;
                    if index > next_index {
                        return Ok(Pumped::Broken(EngineError::StreamCut));
                    }
                    if index == next_index {
                        self.pass_on(text, produced, events).await?;
                    }
                }
                DecodeEvent::Done { output_tokens, finish_reason, .. } => {
                    if output_tokens != produced.output_tokens() {
                        return Ok(Pumped::Broken(EngineError::StreamCut));
                    }
                    return Ok(Pumped::Done(finish_reason));
                }
            }
        }
    }

    async fn pass_on(
        &self,
        text: SmolStr,
        produced: &mut Produced,
        events: &mpsc::Sender<RunEvent>,
    ) -> Result<(), AttemptError> {
        let now = self.node.clock.now();
        self.node.metrics.note_token(&self.call, produced.last_token_at, now);
        produced.first_token_at.get_or_insert(now);
        produced.last_token_at = Some(now);
        produced.tokens.push(text.clone());
        let is_first = self.node.live.note_progress(&self.id, produced.output_tokens());
        if is_first || produced.output_tokens() == self.proof_tokens {
            self.report_proof();
        }
        match timeout(CALLER_TIMEOUT, events.send(RunEvent::Token(text))).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(AttemptError::CallerGone),
        }
    }

    /// Tells the owner at once that the prefill is done, or the decode endpoint not put down to
    /// this attempt: a suspect holds up others until then, and waits for them.
    fn report_proof(&self) {
        if self.node.suspects.is_empty() {
            return;
        }
        let (node, id) = (Rc::clone(&self.node), self.id.clone());
        tokio::task::spawn_local(async move { report_attempt(&node, &id).await });
    }

    async fn decode_failed(&self, error: EngineError, is_unreached: bool) -> AttemptError {
        if error == EngineError::PrefillExpired || error == EngineError::TransferStalled {
            metrics::counter!("almondroad_prefills_wasted_total").increment(1);
        }
        let engine = self.node.engines.get(&self.plan.decode_address);
        let died = is_dead(&engine, &error).await;
        AttemptError::Endpoint { endpoint: self.plan.decode.clone(), died, is_unreached, error }
    }

    fn check_deadline(&self) -> Result<(), AttemptError> {
        if self.node.clock.now() >= self.call.deadline {
            return Err(AttemptError::DeadlinePassed);
        }
        Ok(())
    }

    /// Ends the attempt and tells the pool's owner what it showed. Returns how many endpoints
    /// died under requests with this prompt.
    pub async fn finish(mut self, produced: &Produced, ended: Result<(), &AttemptError>) -> u32 {
        self.is_finished = true;
        let (end, endpoint) = match ended {
            Ok(()) => (AttemptEnd::Completed, None),
            Err(AttemptError::CallerGone) => (AttemptEnd::Cancelled, None),
            Err(AttemptError::DeadlinePassed) => (AttemptEnd::Failed, None),
            Err(AttemptError::Endpoint { endpoint, died: true, .. }) => {
                (AttemptEnd::EndpointDied, Some(endpoint.clone()))
            }
            // The endpoint is not to blame for its connections.
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
            produced.first_token_at.map_or(0, |first| first.ms_since(self.started_at));
        let decode_ms = match (produced.first_token_at, produced.last_token_at) {
            (Some(first), Some(last)) => last.ms_since(first.max(self.started_at)),
            _ => 0,
        };
        let finished = FinishedAttempt {
            attempt: self.id.clone(),
            end,
            endpoint,
            is_unreached,
            output_tokens: produced.output_tokens(),
            first_token_ms,
            decode_ms,
        };
        let cleanup = Cleanup::of(&self);
        if end != AttemptEnd::Completed {
            cleanup.cancel_on_engines().await;
        }
        cleanup.finish_at_owner(finished).await
    }
}

enum Pumped {
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
            cleanup.finish_at_owner(finished).await;
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
