use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::faults::EngineFaults;
use super::memory::{Memory, Use};
use super::prefix_cache::PrefixCache;
use super::settings::{EngineRole, EngineSettings};
use super::stats::EngineStats;
use crate::engine::{LoadReport, PrefillRequest, PrefillResult};
use crate::standin::answer::Refusal;
use crate::standin::link::Link;
use crate::units::{AttemptId, Pieces};

/// State of an engine's stand-in.
pub struct State {
    pub memory: Memory,
    pub cache: PrefixCache,
    pub stats: EngineStats,
    pub faults: EngineFaults,
    pub link: Link,
    pub queue: Vec<QueuedPrefill>,
    pub prefilling: Option<AttemptId>,
    pub results: HashMap<SmolStr, Kept>,
    pub decodes: BTreeMap<AttemptId, Decode>,
    pub load_history: VecDeque<(Instant, LoadReport)>,
    pub next_handle: u64,
    /// Slow work that is still to come once the engine gets work.
    cold_pending: Duration,
    cold_until: Instant,
}

/// A prefill that waits for its turn.
pub struct QueuedPrefill {
    pub request: PrefillRequest,
    pub answer: oneshot::Sender<Result<PrefillResult, Refusal>>,
}

/// A prefill's result until its import or expiry.
#[derive(Clone, Debug)]
pub struct Kept {
    pub attempt: AttemptId,
    pub prompt_hash: u64,
    pub prompt_tokens: u64,
    /// Offset of the answer at which a decode of this KV cache goes on.
    pub generated: u64,
    pub transfers: u32,
    pub expired: bool,
}

/// A decode that holds memory and a slot.
pub struct Decode {
    pub answer: DecodeAnswer,
    pub progress: watch::Sender<Progress>,
    pub imported: bool,
    pub crashes: bool,
    /// Counts the streams that were opened for it.
    pub streams: u64,
}

/// What a decode answers.
#[derive(Clone, Copy, Debug)]
pub struct DecodeAnswer {
    pub prompt_hash: u64,
    pub prompt_tokens: u64,
    pub length: u64,
    pub is_cut: bool,
}

/// Tokens generated so far, counted from the start of the answer.
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

    pub fn go_cold(&mut self, ms: u64) {
        self.cold_pending = self.cold_pending.max(Duration::from_millis(ms));
    }

    /// Factor of the time of work that starts now.
    pub fn slowness(&mut self, settings: &EngineSettings) -> f64 {
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

    pub fn drop_result(&mut self, handle: &str) {
        if let Some(kept) = self.results.remove(handle) {
            self.memory.free(&kept.attempt, Use::Prefill);
        }
    }

    pub fn end_decode(&mut self, attempt: &AttemptId) {
        self.decodes.remove(attempt);
        self.memory.free(attempt, Use::Decode);
    }

    /// Ends all work of an attempt and frees its memory.
    pub fn cancel(&mut self, attempt: &AttemptId) {
        self.queue.retain(|queued| queued.request.attempt != *attempt);
        let kept = self.results.iter().filter(|(_, kept)| kept.attempt == *attempt);
        let handles: Vec<SmolStr> = kept.map(|(handle, _)| handle.clone()).collect();
        for handle in handles {
            self.drop_result(&handle);
        }
        if self.prefilling.as_ref() == Some(attempt) {
            self.prefilling = None;
        }
        self.memory.free(attempt, Use::Prefill);
        self.end_decode(attempt);
    }
}
