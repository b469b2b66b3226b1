//! Reading of callers' request bodies within the memory of the process.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::catalog::RequestLimits;
use crate::forward::Refusal;
use crate::http::RequestMemory;

/// Smallest buffer of a body.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Reads a body within the limits of the configuration. Memory is charged as the body arrives: a
/// declared length costs a client nothing.
pub(super) async fn read_body(
    body: Incoming,
    limits: &RequestLimits,
    memory: &RequestMemory,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    memory.set_arriving(true);
    let limit = Duration::from_millis(limits.receive_timeout_ms);
    let read = tokio::time::timeout(limit, collect(body, limits.body_limit_bytes, memory));
    let bytes = tokio::select! {
        biased;
        () = memory.shed() => return Err(overloaded()),
        read = read => read.map_err(|_| {
            Refusal::Malformed { reason: "the body did not arrive in time" }
        })??,
    };
    memory.set_arriving(false);
    Ok(bytes)
}

/// Copies the chunks of a body into one buffer. Kept chunks would each hold the read buffer that
/// they are part of.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    memory: &RequestMemory,
) -> Result<Bytes, Refusal> {
    let mut bytes = Vec::new();
    let mut held = memory.begin_part();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Malformed { reason: "the body is broken off" })?;
        let Some(data) = frame.data_ref() else { continue };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(Refusal::TooLarge);
        }
        if length > bytes.capacity() {
            let doubled = (2 * bytes.capacity()).clamp(MIN_BUFFER_BYTES, max_bytes.max(length));
            let capacity = doubled.max(length);
            if !held.grow_to(capacity) {
                return Err(overloaded());
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(data);
    }
    Ok(held.into_bytes(bytes))
}

fn overloaded() -> Refusal {
    Refusal::overloaded("body_memory")
}
