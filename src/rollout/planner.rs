use crate::rollout::{RolloutPhase, RolloutState, Verdict};

/// Parts of the allowance that the steps of the observation grant, in percent. The last one
/// repeats, because a step also bounds the answers that are compared with each other.
const ALLOWANCE_STEPS: [u8; 3] = [30, 60, 100];
/// Number of steps of an observation that lasts until its end.
const OBSERVATION_STEPS: u64 = 8;
const MIN_STEP_MS: u64 = 1_000;
/// Part of the whole time for which a version is observed at least, since some versions fail only
/// after a while or under load.
const MIN_OBSERVATION_PERCENT: u64 = 50;
/// Part of the whole time that is kept for moving the requests, and its lower bound: every instance
/// has to learn of the move, and streams on the old version have to end.
const MOVING_PERCENT: u64 = 30;
const MIN_MOVING_MS: u64 = 3_000;

/// What the holder knows when it decides on the next step.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput {
    pub store_ms: u64,
    pub verdict: Verdict,
    /// Whether every instance sends to the new version only and has nothing running on an old one.
    pub is_moved: bool,
}

/// The next step of a roll-out; `None` if it stays as it is.
pub fn next_state(state: &RolloutState, input: &PlanInput) -> Option<RolloutState> {
    let now = input.store_ms;
    let total_ms = state.deadline_store_ms.saturating_sub(state.started_store_ms);
    let moving_ms = (total_ms * MOVING_PERCENT / 100).max(MIN_MOVING_MS);
    let move_by = state.deadline_store_ms.saturating_sub(moving_ms);
    let next = |phase| Some(state.advance(phase, now));
    if state.phase.is_final() {
        return None;
    }
    if input.verdict == Verdict::Bad || now >= state.deadline_store_ms {
        return next(RolloutPhase::RolledBack);
    }
    let RolloutPhase::Observing { allowance_percent } = state.phase else {
        return if input.is_moved { next(RolloutPhase::Succeeded) } else { None };
    };
    let observed_ms = now.saturating_sub(state.started_store_ms);
    let is_observed = observed_ms >= total_ms * MIN_OBSERVATION_PERCENT / 100;
    match input.verdict {
        Verdict::Good if is_observed && now <= move_by => return next(RolloutPhase::Moving),
        _ if now > move_by => return next(RolloutPhase::RolledBack),
        _ => {}
    }
    let step_ms = (total_ms.saturating_sub(moving_ms) / OBSERVATION_STEPS).max(MIN_STEP_MS);
    if now.saturating_sub(state.step_store_ms) < step_ms {
        return None;
    }
    let larger = ALLOWANCE_STEPS.into_iter().find(|percent| *percent > allowance_percent);
    let allowance_percent = larger.unwrap_or(allowance_percent);
    next(RolloutPhase::Observing { allowance_percent })
}

impl RolloutState {
    /// The first step of a roll-out.
    pub fn first(
        order: u64,
        target: smol_str::SmolStr,
        store_ms: u64,
        deadline_store_ms: u64,
    ) -> RolloutState {
        let phase = RolloutPhase::Observing { allowance_percent: ALLOWANCE_STEPS[0] };
        RolloutState {
            order,
            target,
            step: 1,
            phase,
            started_store_ms: store_ms,
            step_store_ms: store_ms,
            deadline_store_ms,
        }
    }
}
