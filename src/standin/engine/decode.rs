//! Decodes: admission, import of the KV cache and token generation.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::memory::MemoryUse;
use super::prefill::{KvCacheInfo, full, has_word};
use super::service::EngineService;
use super::settings::EngineRole;
use super::state::{Decode, ExpectedOutput, Progress};
use super::stream::{STREAM_BUFFER, StreamWriter};
use crate::engine::{DecodeRequest, PrefillSource};
use crate::hash::stable_hash;
use crate::http::{HttpClient, HttpError, ResponseBody};
use crate::standin::expected::{length_for_hash, prompt_tokens};
use crate::standin::launch::spawn_until;
use crate::standin::response::{HandlerResult, Refusal, build_response};
use crate::units::AttemptId;

/// Maximum lateness of a timer that is subtracted from the next step.
const MAX_TIMER_CORRECTION: Duration = Duration::from_millis(2);

fn unknown_attempt() -> Refusal {
    Refusal::new(StatusCode::NOT_FOUND, "unknown_attempt")
}

impl EngineService {
    pub(super) async fn decode(
        self: Rc<Self>,
        request: DecodeRequest,
        remote: SocketAddr,
    ) -> HandlerResult {
        let Some(source) = request.source.clone() else {
            return self.resume(&request, remote);
        };
        self.admit(&request)?;
        let mut guard = DisconnectGuard::new(&self, &request.attempt);
        let (answer, imported) = oneshot::channel();
        let (service, import_request) = (Rc::clone(&self), request.clone());
        // Spawned, so that the import continues if the caller disconnects.
        spawn_until(&self.stop, async move {
            let _ = answer.send(service.import(&import_request, &source).await);
        });
        let outcome = imported.await.unwrap_or(Err(unknown_attempt()));
        guard.armed = false;
        outcome?;
        self.open_stream(&request.attempt, request.first_index, true, remote)
    }

    fn resume(self: &Rc<Self>, request: &DecodeRequest, remote: SocketAddr) -> HandlerResult {
        let answer = self.open_stream(&request.attempt, request.first_index, false, remote)?;
        self.state.borrow_mut().stats.attempt(&request.attempt).resumes += 1;
        Ok(answer)
    }

    /// Checks that the engine can take the request, and reserves memory and a slot.
    fn admit(&self, request: &DecodeRequest) -> Result<(), Refusal> {
        let prompt_hash = stable_hash(&request.prompt);
        let prompt_tokens = prompt_tokens(&request.prompt);
        let max_tokens = request.max_output_tokens.get();
        let length = length_for_hash(prompt_hash, max_tokens);
        let output = ExpectedOutput {
            prompt_hash,
            prompt_tokens,
            length,
            is_truncated: length == max_tokens,
        };
        let pieces = self.settings.pieces_for(prompt_tokens + max_tokens);
        let mut state = self.state.borrow_mut();
        self.check_accepts_work(&mut state, EngineRole::Prefill, request.model.as_str())?;
        if state.decodes.contains_key(&request.attempt) {
            return Err(Refusal::new(StatusCode::CONFLICT, "attempt_exists"));
        }
        let has_room = state.decodes.len() < self.settings.slots as usize
            && state.memory.try_reserve(&request.attempt, MemoryUse::Decode, pieces);
        if !has_room {
            state.stats.refused_full += 1;
            return Err(full());
        }
        let generated = request.first_index;
        let decode = Decode {
            output,
            progress: watch::Sender::new(Progress { generated, ended: generated >= length }),
            imported: false,
            crashes: has_word(&request.prompt, &self.settings.crash_decode_word),
            streams: 0,
        };
        state.decodes.insert(request.attempt.clone(), decode);
        state.stats.attempt(&request.attempt).decodes += 1;
        state.stats.prompt(prompt_hash).decodes += 1;
        Ok(())
    }

    /// Pulls the KV cache from the prefill engine and starts the decode.
    async fn import(&self, request: &DecodeRequest, source: &PrefillSource) -> Result<(), Refusal> {
        let pulled = self.pull(source).await.and_then(|kv| self.check_kv(request, kv));
        let mut state = self.state.borrow_mut();
        if let Err(refusal) = pulled {
            state.end_decode(&request.attempt);
            return Err(refusal);
        }
        let decode = state.decodes.get_mut(&request.attempt).ok_or_else(unknown_attempt)?;
        decode.imported = true;
        state.stats.imports += 1;
        self.decode_ready.notify_one();
        Ok(())
    }

    async fn pull(&self, source: &PrefillSource) -> Result<KvCacheInfo, Refusal> {
        let path = format!("/engine/kv/{}", source.handle);
        let limit = Duration::from_millis(self.settings.transfer_timeout_ms);
        let client = HttpClient::new(source.address.clone());
        client.call(Method::GET, &path, &(), limit).await.map_err(|error| match error {
            HttpError::Timeout { .. } => {
                Refusal::new(StatusCode::GATEWAY_TIMEOUT, "transfer_stalled")
            }
            _ => Refusal::new(StatusCode::CONFLICT, "prefill_expired"),
        })
    }

    fn check_kv(&self, request: &DecodeRequest, kv: KvCacheInfo) -> Result<(), Refusal> {
        let fits =
            kv.prompt_hash == stable_hash(&request.prompt) && kv.generated == request.first_index;
        if !fits {
            self.state.borrow_mut().stats.wrong_kv += 1;
            return Err(Refusal::new(StatusCode::CONFLICT, "wrong_kv"));
        }
        Ok(())
    }

    fn open_stream(
        self: &Rc<Self>,
        attempt: &AttemptId,
        first_index: u64,
        is_first: bool,
        remote: SocketAddr,
    ) -> HandlerResult {
        let (sender, body) = mpsc::channel(STREAM_BUFFER);
        let mut state = self.state.borrow_mut();
        let decode = state.decodes.get_mut(attempt).ok_or_else(unknown_attempt)?;
        decode.streams += 1;
        let writer = StreamWriter {
            service: Rc::clone(self),
            attempt: attempt.clone(),
            output: decode.output,
            progress: decode.progress.subscribe(),
            stream: decode.streams,
            sender,
            remote,
        };
        drop(state);
        spawn_until(&self.stop, writer.run(first_index, is_first));
        Ok(build_response(StatusCode::OK, ResponseBody::Stream(body)))
    }

    /// Cancels an attempt if the caller closed its latest stream and the settings say so.
    pub(super) fn handle_disconnect(&self, attempt: &AttemptId, stream: u64) {
        let mut state = self.state.borrow_mut();
        let is_newest = state.decodes.get(attempt).is_some_and(|d| d.streams == stream);
        if self.settings.cancel_on_disconnect && is_newest {
            state.cancel(attempt);
        }
    }

    /// Generates tokens in steps of one token per running decode.
    pub async fn run_decodes(self: Rc<Self>) {
        let mut next_at = Instant::now();
        loop {
            let running = self.state.borrow().running();
            if running == 0 {
                self.decode_ready.notified().await;
                next_at = Instant::now();
                continue;
            }
            let slowdown_factor = self.state.borrow_mut().slowdown_factor(&self.settings);
            let time = self.settings.token_time(running).mul_f64(slowdown_factor);
            // Steps are scheduled from the previous target time, so that timer delays do not
            // accumulate.
            next_at = next_at.max(Instant::now() - MAX_TIMER_CORRECTION) + time;
            tokio::time::sleep_until(next_at).await;
            self.network.wait_while_frozen().await;
            self.step();
        }
    }

    fn step(&self) {
        let mut state = self.state.borrow_mut();
        let mut ended = Vec::new();
        let mut crashes = false;
        let mut stepped = Vec::new();
        for (attempt, decode) in state.decodes.iter().filter(|(_, decode)| decode.imported) {
            let mut progress = *decode.progress.borrow();
            if !progress.ended {
                progress.generated += 1;
                progress.ended = progress.generated >= decode.output.length;
                stepped.push(attempt.clone());
            }
            decode.progress.send_replace(progress);
            crashes |= decode.crashes && progress.generated >= self.settings.crash_after_tokens;
            if progress.ended {
                ended.push((attempt.clone(), decode.output.prompt_hash));
            }
        }
        state.stats.output_tokens += stepped.len() as u64;
        state.stats.completed += ended.len() as u64;
        for attempt in &stepped {
            state.stats.attempt(attempt).tokens += 1;
        }
        for (attempt, prompt_hash) in &ended {
            state.end_decode(attempt);
            state.stats.attempt(attempt).completed += 1;
            state.stats.prompt(*prompt_hash).completed += 1;
        }
        if crashes {
            self.crash();
        }
    }
}

/// Cancels the attempt on drop unless disarmed, for callers that disconnect during the import.
struct DisconnectGuard<'a> {
    service: &'a EngineService,
    attempt: &'a AttemptId,
    armed: bool,
}

impl<'a> DisconnectGuard<'a> {
    fn new(service: &'a EngineService, attempt: &'a AttemptId) -> DisconnectGuard<'a> {
        DisconnectGuard { service, attempt, armed: true }
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.service.handle_disconnect(self.attempt, 0);
        }
    }
}
