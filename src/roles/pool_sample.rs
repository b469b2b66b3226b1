//! Snapshot of the use of prefill and decode engines.

use crate::balance::EndpointState;
use crate::catalog::EndpointRole;
use crate::clock::Instant;
use crate::units::Tokens;

/// Snapshot of the use of the engines of a service. Avoided engines are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolSample {
    pub prefill_engines: u32,
    /// Prefill engines that are processing a prompt.
    pub busy_prefill_engines: u32,
    pub decode_engines: u32,
    /// KV cache memory used by generations, as a multiple of the capacity of one engine.
    pub decode_capacity_used: f64,
}

impl PoolSample {
    /// Samples engines with `kv_capacity` tokens of KV cache memory each.
    pub fn new<'a>(
        engines: impl IntoIterator<Item = &'a EndpointState>,
        kv_capacity: Tokens,
        now: Instant,
    ) -> PoolSample {
        let mut sample = PoolSample::default();
        let is_available = |state: &&EndpointState| !state.health.is_avoided(now);
        for state in engines.into_iter().filter(is_available) {
            let load = state.load();
            match state.endpoint.role {
                Some(EndpointRole::Prefill) => {
                    sample.prefill_engines += 1;
                    sample.busy_prefill_engines += u32::from(load.requests > 0);
                }
                Some(EndpointRole::Decode) => {
                    sample.decode_engines += 1;
                    let used_capacity = load.memory_tokens as f64 / kv_capacity.get().max(1) as f64;
                    sample.decode_capacity_used += used_capacity;
                }
                None => {}
            }
        }
        sample
    }

    pub fn is_idle(&self) -> bool {
        self.busy_prefill_engines == 0 && self.decode_capacity_used == 0.0
    }
}
