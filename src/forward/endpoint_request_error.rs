use derive_more::{Display, Error};
use smol_str::SmolStr;

/// Why a send to an endpoint brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EndpointRequestError {
    /// No connection was made, or the request was not written to it.
    #[display("not sent: {reason}")]
    NotSent { reason: SmolStr },
    #[display("not run by the endpoint")]
    NotRun,
    #[display("another endpoint has the address")]
    WrongEndpoint,
    /// The connection broke after the request was sent.
    #[display("connection broke: {reason}")]
    Broken { reason: SmolStr },
    /// The answer was for another request, or was none.
    #[display("answer of another request")]
    Mismatched,
    #[display("no answer in time")]
    Timeout,
}

impl EndpointRequestError {
    /// Whether the endpoint certainly did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            EndpointRequestError::NotSent { .. }
                | EndpointRequestError::NotRun
                | EndpointRequestError::WrongEndpoint
        )
    }

    /// Whether the request reached the endpoint, or may have.
    pub fn has_arrived(&self) -> bool {
        !matches!(self, EndpointRequestError::NotSent { .. })
    }

    /// Short name for logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            EndpointRequestError::NotSent { .. } => "not_sent",
            EndpointRequestError::NotRun => "not_run",
            EndpointRequestError::WrongEndpoint => "wrong_endpoint",
            EndpointRequestError::Broken { .. } => "broken",
            EndpointRequestError::Mismatched => "foreign",
            EndpointRequestError::Timeout => "timeout",
        }
    }
}
