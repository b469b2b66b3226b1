use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use tokio::sync::oneshot;

use super::memory::Use;
use super::service::EngineService;
use super::settings::EngineRole;
use super::state::{Kept, QueuedPrefill};
use crate::engine::{PrefillRequest, PrefillResult};
use crate::hash::stable_hash;
use crate::standin::answer::{Answer, Refusal, json};
use crate::standin::expected::{prompt_tokens, token_of_hash};
use crate::standin::launch::spawn_until;
use crate::units::Tokens;

/// Answer to a pull of a KV cache. The size is modelled by the time of the answer.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct KvAnswer {
    pub prompt_hash: u64,
    pub prompt_tokens: u64,
    pub generated: u64,
}

pub(super) fn full() -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "full")
}

fn expired() -> Refusal {
    Refusal::new(StatusCode::NOT_FOUND, "prefill_expired")
}

fn cancelled() -> Refusal {
    Refusal::new(StatusCode::CONFLICT, "cancelled")
}

fn all_tokens(request: &PrefillRequest) -> u64 {
    prompt_tokens(&request.prompt) + request.generated.len() as u64
}

impl EngineService {
    pub(super) async fn prefill(&self, request: PrefillRequest) -> Answer {
        let (answer, done) = oneshot::channel();
        self.queue_prefill(QueuedPrefill { request, answer })?;
        self.prefill_queued.notify_one();
        json(&done.await.map_err(|_| cancelled())??)
    }

    fn queue_prefill(&self, queued: QueuedPrefill) -> Result<(), Refusal> {
        let request = &queued.request;
        let pieces = self.settings.pieces_of(all_tokens(request));
        let mut state = self.state.borrow_mut();
        self.check_work(&mut state, EngineRole::Decode, request.model.as_str())?;
        let has_room = state.queue.len() < self.settings.prefill_queue
            && state.memory.hold(&request.attempt, Use::Prefill, pieces);
        if !has_room {
            state.stats.refused_full += 1;
            return Err(full());
        }
        state.stats.attempt(&request.attempt).prefills += 1;
        state.stats.prompt(stable_hash(&request.prompt)).prefills += 1;
        if !generated_is_expected(request) {
            state.stats.wrong_generated += 1;
        }
        state.queue.push(queued);
        Ok(())
    }

    /// Runs one prefill at a time, highest priority first.
    pub async fn run_prefills(self: Rc<Self>) {
        loop {
            let Some(queued) = self.next_prefill() else {
                self.prefill_queued.notified().await;
                continue;
            };
            let abandoned = queued.answer.is_closed() && self.settings.cancel_on_disconnect;
            if abandoned {
                self.state.borrow_mut().cancel(&queued.request.attempt);
                continue;
            }
            let result = self.run_prefill(&queued.request).await;
            let _ = queued.answer.send(result);
        }
    }

    fn next_prefill(&self) -> Option<QueuedPrefill> {
        let mut state = self.state.borrow_mut();
        // Among equal priorities the first one in the queue is the oldest.
        let priority = state.queue.iter().map(|queued| queued.request.priority).max()?;
        let next = state.queue.iter().position(|queued| queued.request.priority == priority)?;
        let queued = state.queue.remove(next);
        state.prefilling = Some(queued.request.attempt.clone());
        Some(queued)
    }

    async fn run_prefill(
        self: &Rc<Self>,
        request: &PrefillRequest,
    ) -> Result<PrefillResult, Refusal> {
        let tokens = all_tokens(request);
        let (time, cached) = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let cached = state.cache.visit(&self.settings, &request.cache_scope, &request.prompt);
            let slowness = state.slowness(&self.settings);
            (self.settings.prefill_time(tokens, cached).mul_f64(slowness), cached)
        };
        tokio::time::sleep(time).await;
        self.network.thawed().await;
        if has_word(&request.prompt, &self.settings.crash_prefill_word) {
            self.crash();
            return Err(cancelled());
        }
        self.keep_result(request, tokens, cached)
    }

    fn keep_result(
        self: &Rc<Self>,
        request: &PrefillRequest,
        tokens: u64,
        cached: u64,
    ) -> Result<PrefillResult, Refusal> {
        let mut state = self.state.borrow_mut();
        if state.prefilling.take().as_ref() != Some(&request.attempt) {
            return Err(cancelled());
        }
        state.next_handle += 1;
        let handle = format_smolstr!("kv-{}-{}", self.nonce, state.next_handle);
        let kept = Kept {
            attempt: request.attempt.clone(),
            prompt_hash: stable_hash(&request.prompt),
            prompt_tokens: prompt_tokens(&request.prompt),
            generated: request.generated.len() as u64,
            transfers: 0,
            expired: false,
        };
        state.results.insert(handle.clone(), kept);
        state.stats.prefills += 1;
        state.stats.cached_tokens += cached;
        self.expire_later(handle.to_string());
        Ok(PrefillResult { handle, prompt_tokens: Tokens(tokens), cached_tokens: Tokens(cached) })
    }

    fn expire_later(self: &Rc<Self>, handle: String) {
        let service = Rc::clone(self);
        spawn_until(&self.stop, async move {
            tokio::time::sleep(Duration::from_millis(service.settings.prefill_ttl_ms)).await;
            let mut state = service.state.borrow_mut();
            let Some(kept) = state.results.get_mut(handle.as_str()) else { return };
            kept.expired = true;
            if kept.transfers == 0 {
                state.drop_result(&handle);
                state.stats.prefills_expired += 1;
            }
        });
    }

    /// Sends a KV cache over the link; it is free once it was sent.
    pub(super) async fn send_kv(&self, handle: &str) -> Answer {
        let (transfer, kv, sent_at, stalls) = {
            let mut state = self.state.borrow_mut();
            let kept = state.results.get_mut(handle).filter(|kept| !kept.expired);
            let kept = kept.ok_or_else(expired)?;
            kept.transfers += 1;
            let transfer = Transfer { service: self, handle };
            let Kept { prompt_hash, prompt_tokens, generated, .. } = *kept;
            let bytes = (prompt_tokens + generated) * self.settings.kv_bytes_per_token;
            let kv = KvAnswer { prompt_hash, prompt_tokens, generated };
            (transfer, kv, state.link.reserve(bytes), state.faults.stall_transfers)
        };
        if stalls {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep_until(sent_at).await;
        self.network.thawed().await;
        if !self.state.borrow().results.contains_key(handle) {
            return Err(expired());
        }
        self.state.borrow_mut().drop_result(handle);
        drop(transfer);
        json(&kv)
    }
}

/// Keeps a result during its transfer, and lets it expire if the transfer is broken off.
struct Transfer<'a> {
    service: &'a EngineService,
    handle: &'a str,
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let mut state = self.service.state.borrow_mut();
        let Some(kept) = state.results.get_mut(self.handle) else { return };
        kept.transfers -= 1;
        if kept.expired && kept.transfers == 0 {
            state.drop_result(self.handle);
            state.stats.prefills_expired += 1;
        }
    }
}

pub(super) fn has_word(prompt: &str, word: &str) -> bool {
    !word.is_empty() && prompt.split_whitespace().any(|other| other == word)
}

fn generated_is_expected(request: &PrefillRequest) -> bool {
    let hash = stable_hash(&request.prompt);
    let mut generated = request.generated.iter().enumerate();
    generated.all(|(index, token)| *token == token_of_hash(hash, index as u64))
}
