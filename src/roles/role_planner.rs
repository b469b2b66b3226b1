use std::collections::HashMap;
use std::rc::Rc;

use crate::balance::EndpointState;
use crate::catalog::{Endpoint, EndpointRole};
use crate::clock::Instant;
use crate::roles::{PoolSample, PoolUsage};
use crate::units::ZoneId;

/// Part of the time for which prefill engines are to be busy on average. The rest is for bursts;
/// decode engines read prompts themselves when prefill engines are crowded.
const PREFILL_USE: f64 = 0.65;
/// Part of the time from which on prefill engines are too few.
const PREFILL_USE_MOST: f64 = 0.9;
/// Part of the decode engines' memory from which on more of them serve callers better.
const DECODE_FILL_LEAST: f64 = 0.25;
/// Part of their memory up to which one of them can be missed.
const DECODE_FILL_SPARE: f64 = 0.5;
/// Services of this size and more keep two prefill engines, for the loss of one.
const TWO_PREFILL_FROM: u32 = 6;
/// Part of a service's engines that change at the same time.
const PART_AT_ONCE: f64 = 1.0 / 6.0;

/// An engine that is to serve another stage.
#[derive(Clone, Debug)]
pub struct RoleChange {
    pub endpoint: Rc<Endpoint>,
    pub role: EndpointRole,
}

/// The engines of a service that should change their role now.
///
/// A prefill engine that changes takes no work from anybody, so that spare ones are given to
/// generations as soon as the use is known. A decode engine ends its generations first and is away
/// for longer, so that it changes only when prefill engines are short and memory is not.
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
    let at_once = ((f64::from(engine_count) * PART_AT_ONCE) as u32).max(1);
    let busy = pool_usage.busy_prefill_engines();
    let fill = pool_usage.decode_capacity_used() / f64::from(sample.decode_engines.max(1));
    let least = if engine_count >= TWO_PREFILL_FROM { 2 } else { 1 };
    let wanted = ((busy / PREFILL_USE).ceil() as u32).max(least);
    let is_short =
        sample.prefill_engines == 0 || busy > f64::from(sample.prefill_engines) * PREFILL_USE_MOST;
    if sample.prefill_engines > wanted && fill >= DECODE_FILL_LEAST {
        let count = (sample.prefill_engines - wanted).min(at_once);
        choose(engines, EndpointRole::Prefill, EndpointRole::Decode, count, now)
    } else if is_short && fill <= DECODE_FILL_SPARE && sample.decode_engines > 1 {
        choose(engines, EndpointRole::Decode, EndpointRole::Prefill, 1, now)
    } else {
        Vec::new()
    }
}

/// Takes engines from the zones that have most of the role, the least loaded first.
fn choose<'a>(
    engines: impl IntoIterator<Item = &'a EndpointState>,
    from: EndpointRole,
    to: EndpointRole,
    count: u32,
    now: Instant,
) -> Vec<RoleChange> {
    let mut by_zone: HashMap<ZoneId, Vec<&EndpointState>> = HashMap::new();
    for state in engines {
        let may_change = !state.health.is_avoided(now) && !state.is_cold(now);
        if state.endpoint.role == Some(from) && may_change {
            by_zone.entry(state.endpoint.zone.clone()).or_default().push(state);
        }
    }
    for states in by_zone.values_mut() {
        states.sort_by_key(|state| std::cmp::Reverse((state.load().memory_tokens, state.key)));
    }
    let mut changes = Vec::new();
    for _ in 0..count {
        let fullest =
            by_zone.iter_mut().max_by_key(|(zone, states)| (states.len(), (*zone).clone()));
        let Some(state) = fullest.and_then(|(_, states)| states.pop()) else { break };
        changes.push(RoleChange { endpoint: Rc::clone(&state.endpoint), role: to });
    }
    changes
}
