//! Plans role changes from the utilisation of the prefill and decode engines.

use std::collections::HashMap;
use std::rc::Rc;

use crate::balance::EndpointState;
use crate::catalog::{Endpoint, EndpointRole};
use crate::clock::Instant;
use crate::roles::{PoolSample, PoolUsage};
use crate::units::ZoneId;

/// Target utilisation of the prefill engines. The rest is headroom for bursts; decode engines
/// process prompts themselves when the prefill engines are overloaded.
const PREFILL_TARGET_UTILISATION: f64 = 0.65;
/// Utilisation of the prefill engines above which more of them are needed.
const PREFILL_MAX_UTILISATION: f64 = 0.9;
/// Memory utilisation of the decode engines from which on callers benefit from more of them.
const DECODE_GROW_MIN_FILL: f64 = 0.25;
/// Memory utilisation of the decode engines up to which one of them can be spared.
const DECODE_SHRINK_MAX_FILL: f64 = 0.5;
/// Number of engines from which on a service keeps two prefill engines, to tolerate the loss of
/// one.
const TWO_PREFILL_MIN_ENGINES: u32 = 6;
/// Fraction of a service's engines that may change their role at the same time.
const CONCURRENT_CHANGE_FRACTION: f64 = 1.0 / 6.0;

/// A planned role change of an engine.
#[derive(Clone, Debug)]
pub struct RoleChange {
    pub endpoint: Rc<Endpoint>,
    pub role: EndpointRole,
}

/// Returns the engines of a service that should change their role now.
///
/// Changing a spare prefill engine interrupts no requests, so spare prefill engines become decode
/// engines as soon as the utilisation is known. A decode engine has to finish its generations first
/// and is unavailable for longer, so it changes only when prefill engines are overloaded and memory
/// is available.
pub fn plan_role_changes<'a>(
    engines: impl IntoIterator<Item = &'a EndpointState>,
    sample: &PoolSample,
    pool_usage: &PoolUsage,
    now: Instant,
) -> Vec<RoleChange> {
    if !pool_usage.has_enough_samples(now) {
        return Vec::new();
    }
    let engine_count = sample.prefill_engines + sample.decode_engines;
    let max_concurrent_changes =
        ((f64::from(engine_count) * CONCURRENT_CHANGE_FRACTION) as u32).max(1);
    let busy_prefill = pool_usage.busy_prefill_engines();
    let decode_fill = pool_usage.decode_capacity_used() / f64::from(sample.decode_engines.max(1));
    let min_prefill_engines = if engine_count >= TWO_PREFILL_MIN_ENGINES { 2 } else { 1 };
    let target_prefill_engines =
        ((busy_prefill / PREFILL_TARGET_UTILISATION).ceil() as u32).max(min_prefill_engines);
    let is_prefill_overloaded = sample.prefill_engines == 0
        || busy_prefill > f64::from(sample.prefill_engines) * PREFILL_MAX_UTILISATION;
    if sample.prefill_engines > target_prefill_engines && decode_fill >= DECODE_GROW_MIN_FILL {
        let count = (sample.prefill_engines - target_prefill_engines).min(max_concurrent_changes);
        choose_engines(engines, EndpointRole::Prefill, EndpointRole::Decode, count, now)
    } else if is_prefill_overloaded
        && decode_fill <= DECODE_SHRINK_MAX_FILL
        && sample.decode_engines > 1
    {
        choose_engines(engines, EndpointRole::Decode, EndpointRole::Prefill, 1, now)
    } else {
        Vec::new()
    }
}

/// Chooses engines from the zones with the most engines of the role, least loaded first.
fn choose_engines<'a>(
    engines: impl IntoIterator<Item = &'a EndpointState>,
    from: EndpointRole,
    to: EndpointRole,
    count: u32,
    now: Instant,
) -> Vec<RoleChange> {
    let mut by_zone: HashMap<ZoneId, Vec<&EndpointState>> = HashMap::new();
    for state in engines {
        let can_change = !state.health.is_avoided(now) && !state.is_cold(now);
        if state.endpoint.role == Some(from) && can_change {
            by_zone.entry(state.endpoint.zone.clone()).or_default().push(state);
        }
    }
    for states in by_zone.values_mut() {
        states.sort_by_key(|state| std::cmp::Reverse((state.load().memory_tokens, state.key)));
    }
    let mut changes = Vec::new();
    for _ in 0..count {
        let largest_zone =
            by_zone.iter_mut().max_by_key(|(zone, states)| (states.len(), (*zone).clone()));
        let Some(state) = largest_zone.and_then(|(_, states)| states.pop()) else { break };
        changes.push(RoleChange { endpoint: Rc::clone(&state.endpoint), role: to });
    }
    changes
}
