use derive_more::{Display, Error};
use smol_str::SmolStr;

/// Error of a request to an endpoint that got no valid response.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EndpointError {
    /// The connection could not be opened, or the request was not written to it.
    #[display("not sent: {reason}")]
    NotSent { reason: SmolStr },
    #[display("the endpoint did not run the request")]
    NotRun,
    #[display("a different endpoint uses the address")]
    WrongEndpoint,
    /// The connection failed after the request was sent.
    #[display("connection failed: {reason}")]
    Broken { reason: SmolStr },
    /// The response belongs to another request or was not produced by the endpoint.
    #[display("response does not match the request")]
    Mismatched,
    #[display("response timed out")]
    Timeout,
}

impl EndpointError {
    /// Returns whether it is certain that the endpoint did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            EndpointError::NotSent { .. } | EndpointError::NotRun | EndpointError::WrongEndpoint
        )
    }

    /// Returns whether the request may have reached the endpoint.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, EndpointError::NotSent { .. })
    }

    /// Returns the error code for logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            EndpointError::NotSent { .. } => "not_sent",
            EndpointError::NotRun => "not_run",
            EndpointError::WrongEndpoint => "wrong_endpoint",
            EndpointError::Broken { .. } => "broken",
            EndpointError::Mismatched => "foreign",
            EndpointError::Timeout => "timeout",
        }
    }
}
