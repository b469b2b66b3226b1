use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::forward::EndpointError;

/// Largest response. A faulty endpoint may send bytes until its connection is closed.
pub(super) const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Reads the whole body of an endpoint's response.
pub(crate) async fn read_endpoint_body(body: Incoming) -> Result<Bytes, EndpointError> {
    match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(EndpointError::Mismatched),
        Err(error) => Err(EndpointError::Broken { reason: error.to_string().into() }),
    }
}
