use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use super::settings::EngineSettings;
use crate::engine::{CacheEvent, CacheEvents};
use crate::standin::expected::prefix_hashes;

const MAX_EVENTS: usize = 20_000;

/// Prefix caches of limited size, one per scope, with delayed events about their changes.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// Block hashes by scope, least recently used first.
    scopes: HashMap<SmolStr, VecDeque<u64>>,
    /// Scopes, least recently used first.
    scope_order: VecDeque<SmolStr>,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl PrefixCache {
    /// Looks up and stores a prompt's prefixes. Returns the number of tokens that were cached.
    pub fn lookup_and_insert(
        &mut self,
        settings: &EngineSettings,
        scope: &SmolStr,
        prompt: &str,
    ) -> u64 {
        let hashes = prefix_hashes(scope, prompt, settings.cache_block_tokens);
        let mut blocks = self.scopes.remove(scope).unwrap_or_default();
        let cached = hashes.iter().take_while(|hash| blocks.contains(hash)).count();
        for hash in &hashes[cached..] {
            self.record_event(settings, scope, *hash, true);
        }
        blocks.retain(|block| !hashes.contains(block));
        // A block is useless without the blocks before it, so the last ones are evicted first.
        blocks.extend(hashes.iter().rev());
        while blocks.len() > settings.cache_blocks_per_scope {
            if let Some(hash) = blocks.pop_front() {
                self.record_event(settings, scope, hash, false);
            }
        }
        self.scopes.insert(scope.clone(), blocks);
        self.touch(settings, scope);
        cached as u64 * settings.cache_block_tokens
    }

    /// Marks a scope as most recently used and evicts scopes above the limit.
    fn touch(&mut self, settings: &EngineSettings, scope: &SmolStr) {
        self.scope_order.retain(|other| other != scope);
        self.scope_order.push_back(scope.clone());
        while self.scope_order.len() > settings.cache_scopes {
            let Some(oldest) = self.scope_order.pop_front() else { return };
            for hash in self.scopes.remove(&oldest).unwrap_or_default() {
                self.record_event(settings, &oldest, hash, false);
            }
        }
    }

    fn record_event(
        &mut self,
        settings: &EngineSettings,
        scope: &SmolStr,
        hash: u64,
        stored: bool,
    ) {
        self.sequence += 1;
        let sequence = self.sequence;
        // Omitted events leave gaps in the sequence numbers.
        if settings.event_gap_every > 0 && sequence.is_multiple_of(settings.event_gap_every) {
            return;
        }
        let event = CacheEvent { sequence, scope: scope.clone(), prefix_hash: hash, stored };
        let visible_at = Instant::now() + Duration::from_millis(settings.event_delay_ms);
        self.events.push_back((visible_at, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Visible events with a higher sequence number than `after`.
    pub fn events_after(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let visible = || self.events.iter().take_while(|(at, _)| *at <= now).map(|(_, e)| e);
        CacheEvents {
            last_sequence: visible().last().map_or(0, |event| event.sequence),
            events: visible().filter(|event| event.sequence > after).cloned().collect(),
        }
    }
}
