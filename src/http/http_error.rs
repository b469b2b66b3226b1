use derive_more::{Display, Error};
use smol_str::SmolStr;

/// A failed HTTP call.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum HttpError {
    /// The connection could not be established, so the request was not sent.
    #[display("cannot connect to {address}: {reason}")]
    Connect { address: SmolStr, reason: SmolStr },
    /// The server responded with a status other than 2xx.
    #[display("{address} answered {status}: {body}")]
    Status { address: SmolStr, status: u16, body: SmolStr },
    /// The connection failed after the request may have been sent.
    #[display("connection to {address} broke: {reason}")]
    Broken { address: SmolStr, reason: SmolStr },
    #[display("{address} did not answer in time")]
    Timeout { address: SmolStr },
    #[display("{address} gave a malformed answer: {reason}")]
    Malformed { address: SmolStr, reason: SmolStr },
}

impl HttpError {
    /// Whether it is certain that the request did not reach the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpError::Connect { .. })
    }
}
