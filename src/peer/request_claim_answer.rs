use crate::budget::ClaimAnswer;
use crate::lease::Holding;
use crate::units::AttemptId;

/// Answer to the claim of a request id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestClaimAnswer {
    Claimed,
    /// Another attempt answers or has answered this request.
    Held {
        attempt: AttemptId,
        completed: bool,
    },
    NotHolder(Option<Holding>),
}

impl From<ClaimAnswer> for RequestClaimAnswer {
    fn from(answer: ClaimAnswer) -> RequestClaimAnswer {
        match answer {
            ClaimAnswer::Claimed => RequestClaimAnswer::Claimed,
            ClaimAnswer::Held { attempt, completed } => {
                RequestClaimAnswer::Held { attempt, completed }
            }
        }
    }
}
