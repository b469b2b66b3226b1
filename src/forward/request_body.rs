//! Reading of callers' request bodies within the memory of the process.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use rand::Rng;

use crate::catalog::RequestLimits;
use crate::forward::Refusal;
use crate::forward::refuse::MIN_RETRY_AFTER_MS;
use crate::http::{MemoryAccount, MemoryCharge, record_refused_client};

/// Smallest buffer of a body.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// A complete body, whose memory is charged until the last reference to it is dropped.
struct ChargedBody {
    bytes: Vec<u8>,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body within the limits of the configuration. Memory is charged as the body arrives: a
/// declared length costs a client nothing.
pub(super) async fn read_body(
    body: Incoming,
    limits: &RequestLimits,
    account: &MemoryAccount,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let charge = account.open(0).ok_or_else(overloaded)?;
    let limit = Duration::from_millis(limits.receive_timeout_ms);
    let read = tokio::time::timeout(limit, collect(body, limits.body_limit_bytes, &charge));
    let bytes = tokio::select! {
        biased;
        () = charge.shed() => return Err(overloaded()),
        read = read => read.map_err(|_| {
            Refusal::Malformed { reason: "the body did not arrive in time" }
        })??,
    };
    charge.set_sheddable(false);
    Ok(Bytes::from_owner(ChargedBody { bytes, _charge: charge }))
}

/// Copies the chunks of a body into one buffer. Kept chunks would each hold the read buffer that
/// they are part of.
async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    charge: &MemoryCharge,
) -> Result<Vec<u8>, Refusal> {
    let mut bytes = Vec::new();
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
            if !charge.grow_to(capacity) {
                return Err(overloaded());
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes)
}

/// Refuses a request for whose body there is no memory; it has not run.
fn overloaded() -> Refusal {
    record_refused_client("body_memory");
    let spread_ms = rand::rng().random_range(0..=MIN_RETRY_AFTER_MS);
    Refusal::Overloaded { retry_after_ms: MIN_RETRY_AFTER_MS + spread_ms }
}
