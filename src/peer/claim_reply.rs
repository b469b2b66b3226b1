use crate::budget::ClaimAnswer;
use crate::lease::Holding;
use crate::units::AttemptId;

/// Answer to the claim of a request id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    Claimed,
    /// Another attempt is serving or has served this request.
    Held {
        attempt: AttemptId,
        completed: bool,
    },
    NotHolder(Option<Holding>),
}

impl From<ClaimAnswer> for ClaimReply {
    fn from(answer: ClaimAnswer) -> ClaimReply {
        match answer {
            ClaimAnswer::Claimed => ClaimReply::Claimed,
            ClaimAnswer::Held { attempt, completed } => ClaimReply::Held { attempt, completed },
        }
    }
}
