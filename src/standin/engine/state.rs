use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::faults::EngineFaults;
use super::memory::{Memory, MemoryUse};
use super::prefix_cache::PrefixCache;
use super::settings::{EngineRole, EngineSettings};
use super::stats::EngineStats;
use crate::engine::{LoadReport, PrefillRequest, PrefillResult};
use crate::standin::link::Link;
use crate::standin::response::Refusal;
use crate::units::{AttemptId, Pieces};

/// Mutable state of an engine stand-in.
pub struct State {
    pub memory: Memory,
    pub cache: PrefixCache,
    pub stats: EngineStats,
    pub faults: EngineFaults,
    pub link: Link,
    /// Prefills that wait, oldest first.
    pub queue: Vec<QueuedPrefill>,
    /// Attempt whose prefill is running.
    pub prefilling: Option<AttemptId>,
    /// Completed prefills by KV cache handle.
    pub results: HashMap<SmolStr, StoredPrefill>,
    pub decodes: BTreeMap<AttemptId, Decode>,
    pub load_history: VecDeque<(Instant, LoadReport)>,
    pub next_handle: u64,
    /// Cold period that begins with the next work.
    cold_pending: Duration,
    cold_until: Instant,
}

/// A prefill that waits in the queue.
pub struct QueuedPrefill {
    pub request: PrefillRequest,
    pub answer: oneshot::Sender<Result<PrefillResult, Refusal>>,
}

/// A completed prefill whose KV cache is kept until its transfer or expiry.
#[derive(Clone, Debug)]
pub struct StoredPrefill {
    pub attempt: AttemptId,
    pub prompt_hash: u64,
    pub prompt_tokens: u64,
    /// Index of the first output token that a decode of this KV cache generates.
    pub generated: u64,
    /// Number of running transfers.
    pub transfers: u32,
    pub expired: bool,
}

/// A decode that occupies memory and a slot.
pub struct Decode {
    pub output: ExpectedOutput,
    pub progress: watch::Sender<Progress>,
    /// Whether the KV cache was imported, so that the decode generates tokens.
    pub imported: bool,
    /// Whether the prompt contains the word that makes the engine crash.
    pub crashes: bool,
    /// Number of streams opened so far.
    pub streams: u64,
}

/// Output that a decode will generate.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedOutput {
    pub prompt_hash: u64,
    pub prompt_tokens: u64,
    pub length: u64,
    /// Whether the output ends at the request's token limit.
    pub is_truncated: bool,
}

/// Number of tokens generated so far, including those of earlier attempts.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    pub generated: u64,
    pub ended: bool,
}

impl State {
    pub fn new(settings: &EngineSettings) -> State {
        let stats = EngineStats {
            role: settings.role,
            models: settings.models.iter().map(SmolStr::from).collect(),
            ..EngineStats::default()
        };
        State {
            memory: Memory::new(settings.pieces),
            cache: PrefixCache::default(),
            stats,
            faults: EngineFaults::default(),
            link: Link::new(settings.link_bytes_per_s),
            queue: Vec::new(),
            prefilling: None,
            results: HashMap::new(),
            decodes: BTreeMap::new(),
            load_history: VecDeque::new(),
            next_handle: 0,
            cold_pending: Duration::from_millis(settings.cold_ms),
            cold_until: Instant::now(),
        }
    }

    pub fn role(&self) -> EngineRole {
        self.stats.role
    }

    /// Makes the engine cold for `ms` from its next work on.
    pub fn add_cold_period(&mut self, ms: u64) {
        self.cold_pending = self.cold_pending.max(Duration::from_millis(ms));
    }

    /// Factor by which work that starts now takes longer. Begins a pending cold period.
    pub fn slowdown_factor(&mut self, settings: &EngineSettings) -> f64 {
        let now = Instant::now();
        let pending = std::mem::take(&mut self.cold_pending);
        self.cold_until = self.cold_until.max(now + pending);
        if now < self.cold_until { settings.cold_factor.max(1.0) } else { 1.0 }
    }

    pub fn running(&self) -> u32 {
        self.decodes.values().filter(|decode| decode.imported).count() as u32
    }

    pub fn load(&self) -> LoadReport {
        LoadReport {
            age_ms: 0,
            used_pieces: Pieces(self.memory.used()),
            running: self.running(),
            queued: self.queue.len() as u32,
        }
    }

    pub fn stats(&self) -> EngineStats {
        let load = self.load();
        EngineStats {
            used_pieces: load.used_pieces.get(),
            running: load.running,
            queued: load.queued,
            ..self.stats.clone()
        }
    }

    pub fn remove_result(&mut self, handle: &str) {
        if let Some(stored_prefill) = self.results.remove(handle) {
            self.memory.free(&stored_prefill.attempt, MemoryUse::Prefill);
        }
    }

    pub fn end_decode(&mut self, attempt: &AttemptId) {
        self.decodes.remove(attempt);
        self.memory.free(attempt, MemoryUse::Decode);
    }

    /// Stops all work of an attempt and frees its memory.
    pub fn cancel(&mut self, attempt: &AttemptId) {
        self.queue.retain(|queued| queued.request.attempt != *attempt);
        let results_of_attempt =
            self.results.iter().filter(|(_, stored_prefill)| stored_prefill.attempt == *attempt);
        let handles: Vec<SmolStr> = results_of_attempt.map(|(handle, _)| handle.clone()).collect();
        for handle in handles {
            self.remove_result(&handle);
        }
        if self.prefilling.as_ref() == Some(attempt) {
            self.prefilling = None;
        }
        self.memory.free(attempt, MemoryUse::Prefill);
        self.end_decode(attempt);
    }
}
