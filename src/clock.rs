//! Clocks and points in time. Deadlines use a clock that includes suspended time, so that an
//! instance that was paused sees its leases as expired when it resumes.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point in time on the local clock, in milliseconds. Values from different instances are not
/// comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant {
    since_origin_ms: u64,
}

impl Instant {
    pub const fn from_ms(since_origin_ms: u64) -> Instant {
        Instant { since_origin_ms }
    }

    pub fn as_ms(self) -> u64 {
        self.since_origin_ms
    }

    /// Adds milliseconds, saturating at the largest value.
    pub fn plus_ms(self, ms: u64) -> Instant {
        Instant { since_origin_ms: self.since_origin_ms.saturating_add(ms) }
    }

    /// Milliseconds elapsed since `earlier`, or zero if `earlier` is after `self`.
    pub fn ms_since(self, earlier: Instant) -> u64 {
        self.since_origin_ms.saturating_sub(earlier.since_origin_ms)
    }

    /// Duration from `now` until `self`, or zero if `self` has passed.
    pub fn remaining(self, now: Instant) -> Duration {
        Duration::from_millis(self.ms_since(now))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.since_origin_ms / 1000, self.since_origin_ms % 1000)
    }
}

/// Source of the current time.
pub trait Clock: Clone + 'static {
    fn now(&self) -> Instant;
}

/// `CLOCK_BOOTTIME`: monotonic, and includes time during which the machine was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Instant {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Instant::from_ms(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
    }
}

/// Tokio's clock, which tests can pause and advance.
#[derive(Clone, Copy, Debug)]
pub struct TokioClock {
    origin: tokio::time::Instant,
}

impl TokioClock {
    /// Initial value. Far above zero, so that subtraction never reaches the origin.
    const ORIGIN_MS: u64 = 1_000_000;

    pub fn new() -> TokioClock {
        TokioClock { origin: tokio::time::Instant::now() }
    }
}

impl Default for TokioClock {
    fn default() -> TokioClock {
        TokioClock::new()
    }
}

impl Clock for TokioClock {
    fn now(&self) -> Instant {
        let elapsed_ms = self.origin.elapsed().as_millis() as u64;
        Instant::from_ms(TokioClock::ORIGIN_MS + elapsed_ms)
    }
}

/// Wall-clock time in seconds, for readers outside the system. Decisions use `Clock`.
pub fn unix_time_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
