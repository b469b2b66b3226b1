use derive_more::{Display, Error};
use smol_str::SmolStr;

/// Why a send to an endpoint brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EndpointError {
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

impl EndpointError {
    /// Whether the endpoint certainly did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            EndpointError::NotSent { .. } | EndpointError::NotRun | EndpointError::WrongEndpoint
        )
    }

    /// Whether the request reached the endpoint, or may have.
    pub fn has_arrived(&self) -> bool {
        !matches!(self, EndpointError::NotSent { .. })
    }

    /// Short name for logs and metrics.
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
