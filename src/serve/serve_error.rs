use derive_more::{Display, Error};
use hyper::StatusCode;
use smol_str::SmolStr;

use crate::jsonc::JsoncError;
use crate::serve::Outcome;

/// Why a caller's request was refused or failed.
#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum ServeError {
    #[display("no key was sent; send it as `Authorization: Bearer KEY`")]
    MissingKey,
    #[display("the key is unknown or withdrawn")]
    UnknownKey,
    #[display("no route for {path}")]
    UnknownRoute { path: SmolStr },
    #[display("{method} is not allowed here")]
    WrongMethod { method: SmolStr },
    #[display("the body is larger than {max_body_bytes} bytes")]
    BodyTooLarge { max_body_bytes: usize },
    #[display("the body could not be read")]
    BodyUnreadable,
    #[display("the body is no valid request: {_0}")]
    BadBody(JsoncError),
    #[display("{header} has no valid value")]
    BadHeader { header: &'static str },
    #[display("the model {model} does not exist")]
    UnknownModel { model: SmolStr },
    #[display("the prompt is longer than {max_tokens} tokens")]
    PromptTooLong { max_tokens: u64 },
    #[display("max_tokens must be 1 to {max_tokens}")]
    BadMaxTokens { max_tokens: u64 },
    #[display("this instance cannot learn whether its configuration is the newest")]
    StaleConfiguration,
    #[display("this instance is stopping")]
    Stopping,
    #[display("the organisation's token rate is used up")]
    RateExceeded { retry_after_ms: u64 },
    #[display("the request may use more tokens than the organisation's burst")]
    LargerThanBurst,
    #[display("the organisation's token budget cannot be reached")]
    BudgetUnreachable { retry_after_ms: u64 },
    #[display("no capacity in time")]
    NoCapacity { retry_after_ms: u64, outcome: Outcome },
    #[display("no endpoint is in service for this request")]
    NoEndpoint { outcome: Outcome },
    #[display("requests with this prompt have crashed endpoints")]
    CrashesEndpoints { outcome: Outcome },
    #[display("a request with this id is being answered or was answered")]
    DuplicateRequest { completed: bool },
    #[display("the request's deadline passed")]
    DeadlinePassed { outcome: Outcome },
    #[display("the engine failed and no other could finish the answer")]
    EngineFailed { outcome: Outcome },
    #[display("this route needs an `Idempotency-Key` header")]
    MissingIdempotencyKey,
    #[display("the idempotency key was used with another body")]
    IdempotencyKeyReused,
    #[display("the call was made before and its outcome is not known")]
    CallUnresolved,
    #[display("the platform's table cannot be reached")]
    TableUnavailable,
    #[display("the service cannot be reached")]
    ServiceUnavailable { outcome: Outcome },
}

impl ServeError {
    pub fn status(&self) -> StatusCode {
        use ServeError::*;
        match self {
            MissingKey | UnknownKey => StatusCode::UNAUTHORIZED,
            UnknownRoute { .. } | UnknownModel { .. } => StatusCode::NOT_FOUND,
            WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyUnreadable
            | BadBody(_)
            | BadHeader { .. }
            | PromptTooLong { .. }
            | BadMaxTokens { .. }
            | LargerThanBurst
            | MissingIdempotencyKey => StatusCode::BAD_REQUEST,
            RateExceeded { .. } => StatusCode::TOO_MANY_REQUESTS,
            CrashesEndpoints { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            DuplicateRequest { .. } | IdempotencyKeyReused | CallUnresolved => StatusCode::CONFLICT,
            StaleConfiguration
            | Stopping
            | BudgetUnreachable { .. }
            | NoCapacity { .. }
            | NoEndpoint { .. }
            | TableUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            DeadlinePassed { .. } => StatusCode::GATEWAY_TIMEOUT,
            EngineFailed { .. } | ServiceUnavailable { .. } => StatusCode::BAD_GATEWAY,
        }
    }

    /// Stable machine-readable error code.
    pub fn code(&self) -> &'static str {
        use ServeError::*;
        match self {
            MissingKey => "missing_key",
            UnknownKey => "unknown_key",
            UnknownRoute { .. } => "unknown_route",
            WrongMethod { .. } => "wrong_method",
            BodyTooLarge { .. } => "body_too_large",
            BodyUnreadable => "body_unreadable",
            BadBody(_) => "bad_body",
            BadHeader { .. } => "bad_header",
            UnknownModel { .. } => "unknown_model",
            PromptTooLong { .. } => "prompt_too_long",
            BadMaxTokens { .. } => "bad_max_tokens",
            StaleConfiguration => "stale_configuration",
            Stopping => "stopping",
            RateExceeded { .. } => "rate_exceeded",
            LargerThanBurst => "larger_than_burst",
            BudgetUnreachable { .. } => "budget_unreachable",
            NoCapacity { .. } => "no_capacity",
            NoEndpoint { .. } => "no_endpoint",
            CrashesEndpoints { .. } => "request_crashes_endpoints",
            DuplicateRequest { .. } => "duplicate_request",
            DeadlinePassed { .. } => "deadline_passed",
            EngineFailed { .. } => "engine_failed",
            MissingIdempotencyKey => "missing_idempotency_key",
            IdempotencyKeyReused => "idempotency_key_reused",
            CallUnresolved => "call_unresolved",
            TableUnavailable => "table_unavailable",
            ServiceUnavailable { .. } => "service_unavailable",
        }
    }

    pub fn outcome(&self) -> Outcome {
        use ServeError::*;
        match self {
            NoCapacity { outcome, .. }
            | NoEndpoint { outcome }
            | CrashesEndpoints { outcome }
            | DeadlinePassed { outcome }
            | EngineFailed { outcome }
            | ServiceUnavailable { outcome } => *outcome,
            DuplicateRequest { completed: true } => Outcome::Run,
            DuplicateRequest { completed: false } | CallUnresolved => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    pub fn retry_after_ms(&self) -> Option<u64> {
        use ServeError::*;
        match self {
            RateExceeded { retry_after_ms }
            | BudgetUnreachable { retry_after_ms }
            | NoCapacity { retry_after_ms, .. } => Some(*retry_after_ms),
            StaleConfiguration | Stopping | TableUnavailable => Some(1_000),
            _ => None,
        }
    }
}
