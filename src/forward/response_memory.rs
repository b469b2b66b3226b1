//! Waiting for the memory of responses.

use std::time::Duration;

use crate::clock::{Clock, Instant};
use crate::http::HeldMemory;

/// Time between two attempts to get memory for a part of a response.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Raises a part of a response's memory to `bytes` as soon as there is room, because its caller has
/// read earlier parts or other requests have ended. Returns false if there is none until the
/// deadline.
pub(super) async fn grow_when_free<C: Clock>(
    held: &mut HeldMemory,
    bytes: usize,
    deadline: Instant,
    clock: &C,
) -> bool {
    loop {
        let has_room = held.try_grow_to(bytes);
        if has_room || clock.now() >= deadline {
            return has_room;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
