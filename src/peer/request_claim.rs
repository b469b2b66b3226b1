use crate::budget::ClaimAnswer;
use crate::lease::Holding;
use crate::units::AttemptId;

/// Answer to the claim of a request id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestClaim {
    Claimed,
    /// Another attempt answers or has answered this request.
    Held {
        attempt: AttemptId,
        completed: bool,
    },
    NotHolder(Option<Holding>),
}

impl From<ClaimAnswer> for RequestClaim {
    fn from(answer: ClaimAnswer) -> RequestClaim {
        match answer {
            ClaimAnswer::Claimed => RequestClaim::Claimed,
            ClaimAnswer::Held { attempt, completed } => RequestClaim::Held { attempt, completed },
        }
    }
}
