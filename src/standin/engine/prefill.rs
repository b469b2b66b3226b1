//! Prefills: queue, execution, and storage and transfer of their KV caches.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use tokio::sync::oneshot;

use super::memory::MemoryUse;
use super::service::EngineService;
use super::settings::EngineRole;
use super::state::{QueuedPrefill, StoredPrefill};
use crate::engine::{PrefillRequest, PrefillResult};
use crate::hash::stable_hash;
use crate::standin::expected::{prompt_tokens, token_for_hash};
use crate::standin::launch::spawn_until;
use crate::standin::response::{HandlerResult, Refusal, json_response};
use crate::units::Tokens;

/// Response to a request for a KV cache. Instead of sending the data, the response is delayed by
/// the transfer time.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct KvCacheInfo {
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

/// Tokens to prefill: the prompt and the tokens generated so far.
fn all_tokens(request: &PrefillRequest) -> u64 {
    prompt_tokens(&request.prompt) + request.generated.len() as u64
}

impl EngineService {
    pub(super) async fn prefill(&self, request: PrefillRequest) -> HandlerResult {
        let (answer, done) = oneshot::channel();
        self.queue_prefill(QueuedPrefill { request, answer })?;
        self.prefill_queued.notify_one();
        json_response(&done.await.map_err(|_| cancelled())??)
    }

    fn queue_prefill(&self, queued: QueuedPrefill) -> Result<(), Refusal> {
        let request = &queued.request;
        let pieces = self.settings.pieces_for(all_tokens(request));
        let mut state = self.state.borrow_mut();
        self.check_accepts_work(&mut state, EngineRole::Decode, request.model.as_str())?;
        let has_room = state.queue.len() < self.settings.prefill_queue
            && state.memory.try_reserve(&request.attempt, MemoryUse::Prefill, pieces);
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

    /// Runs queued prefills one at a time, highest priority first.
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
        // `position` finds the oldest of the entries with equal priority.
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
            let cached = state.cache.lookup_and_insert(
                &self.settings,
                &request.cache_scope,
                &request.prompt,
            );
            let slowdown_factor = state.slowdown_factor(&self.settings);
            (self.settings.prefill_time(tokens, cached).mul_f64(slowdown_factor), cached)
        };
        tokio::time::sleep(time).await;
        self.network.wait_while_frozen().await;
        if has_word(&request.prompt, &self.settings.crash_prefill_word) {
            self.crash();
            return Err(cancelled());
        }
        self.store_result(request, tokens, cached)
    }

    fn store_result(
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
        let stored_prefill = StoredPrefill {
            attempt: request.attempt.clone(),
            prompt_hash: stable_hash(&request.prompt),
            prompt_tokens: prompt_tokens(&request.prompt),
            generated: request.generated.len() as u64,
            transfers: 0,
            expired: false,
        };
        state.results.insert(handle.clone(), stored_prefill);
        state.stats.prefills += 1;
        state.stats.cached_tokens += cached;
        self.expire_later(handle.to_string());
        Ok(PrefillResult { handle, prompt_tokens: Tokens(tokens), cached_tokens: Tokens(cached) })
    }

    /// Schedules the expiry of a stored prefill. During a transfer it is removed at the transfer's
    /// end.
    fn expire_later(self: &Rc<Self>, handle: String) {
        let service = Rc::clone(self);
        spawn_until(&self.stop, async move {
            tokio::time::sleep(Duration::from_millis(service.settings.prefill_ttl_ms)).await;
            let mut state = service.state.borrow_mut();
            let Some(stored_prefill) = state.results.get_mut(handle.as_str()) else { return };
            stored_prefill.expired = true;
            if stored_prefill.transfers == 0 {
                state.remove_result(&handle);
                state.stats.prefills_expired += 1;
            }
        });
    }

    /// Sends a KV cache over the link, then frees it.
    pub(super) async fn send_kv(&self, handle: &str) -> HandlerResult {
        let (transfer, kv, sent_at, stalls) = {
            let mut state = self.state.borrow_mut();
            let stored_prefill =
                state.results.get_mut(handle).filter(|stored_prefill| !stored_prefill.expired);
            let stored_prefill = stored_prefill.ok_or_else(expired)?;
            stored_prefill.transfers += 1;
            let transfer = Transfer { service: self, handle };
            let StoredPrefill { prompt_hash, prompt_tokens, generated, .. } = *stored_prefill;
            let bytes = (prompt_tokens + generated) * self.settings.kv_bytes_per_token;
            let kv = KvCacheInfo { prompt_hash, prompt_tokens, generated };
            (transfer, kv, state.link.reserve(bytes), state.faults.stall_transfers)
        };
        if stalls {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep_until(sent_at).await;
        self.network.wait_while_frozen().await;
        if !self.state.borrow().results.contains_key(handle) {
            return Err(expired());
        }
        self.state.borrow_mut().remove_result(handle);
        drop(transfer);
        json_response(&kv)
    }
}

/// A running transfer of a KV cache. The cache does not expire before the transfer ends; an expired
/// one is removed on drop.
struct Transfer<'a> {
    service: &'a EngineService,
    handle: &'a str,
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let mut state = self.service.state.borrow_mut();
        let Some(stored_prefill) = state.results.get_mut(self.handle) else { return };
        stored_prefill.transfers -= 1;
        if stored_prefill.expired && stored_prefill.transfers == 0 {
            state.remove_result(self.handle);
            state.stats.prefills_expired += 1;
        }
    }
}

pub(super) fn has_word(prompt: &str, word: &str) -> bool {
    !word.is_empty() && prompt.split_whitespace().any(|other| other == word)
}

/// Whether the tokens generated so far are those of the expected output.
fn generated_is_expected(request: &PrefillRequest) -> bool {
    let hash = stable_hash(&request.prompt);
    let mut generated = request.generated.iter().enumerate();
    generated.all(|(index, token)| *token == token_for_hash(hash, index as u64))
}
