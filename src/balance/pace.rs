//! Pace of an endpoint that has just started or recovered. Answers the load of a whole fleet that
//! turns to such an endpoint at once, because it seems to be the least loaded one, or that leaves it
//! idle while each instance waits for another's probe.

use crate::clock::Instant;

/// Requests that all instances together may have at an endpoint when its pace begins.
const INITIAL_REQUESTS: f64 = 4.0;
/// Factor by which the limit grows in each step of good answers, and by which it is cut when
/// requests fail or are rejected. Doubling reaches the slots of a large engine in six steps.
const GROWTH: f64 = 2.0;
/// Minimum length of a step: the loads and reports of peers arrive within about this time.
const MIN_STEP_MS: u64 = 250;
/// Length of a step in expected response times, so that answers of a step arrive before the next.
const STEP_RESPONSES: f64 = 1.5;
/// Answers that take longer than this multiple of the expected time do not raise the limit.
const SLOW_FACTOR: f64 = 2.5;
/// Time after which a limit that slow answers hold grows nevertheless: the endpoint may be slow by
/// build, which the choice among endpoints takes into account.
const MAX_HOLD_MS: u64 = 6_000;

/// Limit on the requests that all instances together have at one endpoint, found from how it answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    ramp: Option<Ramp>,
}

#[derive(Clone, Copy, Debug)]
struct Ramp {
    limit: f64,
    /// End of the current step.
    step_until: Instant,
    step_ms: u64,
    expected_unit_ms: Option<f64>,
    /// Time until which slow answers may hold the limit.
    hold_until: Instant,
    is_step_slow: bool,
}

impl Pace {
    /// Begins at the lowest limit. `expected_unit_ms` is the usual time per unit of work of the
    /// endpoint's peers and `expected_ms` that of a response.
    pub fn begin(&mut self, expected_unit_ms: Option<f64>, expected_ms: f64, now: Instant) {
        let step_ms = MIN_STEP_MS.max((expected_ms * STEP_RESPONSES) as u64);
        self.ramp = Some(Ramp {
            limit: INITIAL_REQUESTS,
            step_until: now.plus_ms(step_ms),
            step_ms,
            expected_unit_ms,
            hold_until: now.plus_ms(MAX_HOLD_MS),
            is_step_slow: false,
        });
    }

    /// The limit for all instances; `None` without one.
    pub fn limit(&self) -> Option<u32> {
        self.ramp.map(|ramp| ramp.limit as u32)
    }

    /// Ends a step that has passed: the limit grows unless answers of the step were slow. The pace
    /// ends when the endpoint may have `full` requests.
    pub fn advance(&mut self, full: u32, now: Instant) {
        let Some(ramp) = &mut self.ramp else { return };
        while now >= ramp.step_until {
            ramp.step_until = ramp.step_until.plus_ms(ramp.step_ms);
            let is_held = ramp.is_step_slow && now < ramp.hold_until;
            ramp.is_step_slow = false;
            if !is_held {
                ramp.limit *= GROWTH;
            }
            if ramp.limit >= f64::from(full) {
                self.ramp = None;
                return;
            }
        }
    }

    /// Records the time per unit of work of an answer.
    pub fn record_answer(&mut self, unit_ms: f64) {
        let expected_unit_ms = self.ramp.and_then(|ramp| ramp.expected_unit_ms);
        if expected_unit_ms.is_some_and(|expected_ms| unit_ms > SLOW_FACTOR * expected_ms) {
            self.record_slowness();
        }
    }

    /// Holds the limit because an answer to this instance or to a peer was slow.
    pub fn record_slowness(&mut self) {
        if let Some(ramp) = &mut self.ramp {
            ramp.is_step_slow = true;
        }
    }

    /// Whether answers of the current step were slow, so that peers should hold the limit as well.
    pub fn is_slow(&self) -> bool {
        self.ramp.is_some_and(|ramp| ramp.is_step_slow)
    }

    /// Cuts the limit because a request of this instance or of a peer failed or was rejected.
    pub fn record_failure(&mut self, now: Instant) {
        if let Some(ramp) = &mut self.ramp {
            ramp.limit = (ramp.limit / GROWTH).max(INITIAL_REQUESTS);
            ramp.step_until = now.plus_ms(ramp.step_ms);
            ramp.is_step_slow = false;
        }
    }
}
