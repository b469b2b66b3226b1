//! Waiting for the memory of responses.

use std::time::Duration;

use crate::clock::{Clock, Instant};
use crate::http::{HeldMemory, RequestMemory};

/// Time between two attempts to get memory for a part of a response.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Holds `bytes` of a response as soon as there is room, because its caller has read earlier parts
/// or other requests have ended; `None` if there is none until the deadline.
pub(super) async fn hold_when_free<C: Clock>(
    memory: &RequestMemory,
    bytes: usize,
    deadline: Instant,
    clock: &C,
) -> Option<HeldMemory> {
    loop {
        let held = memory.hold(bytes);
        if held.is_some() || clock.now() >= deadline {
            return held;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
