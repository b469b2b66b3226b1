//! The request's path: authentication, admission, prefill, decode, resumption, answer.

mod attempt;
mod call;
mod call_error;
mod caller_key;
mod charge;
mod claim;
mod complete;
mod completion_format;
mod completion_request;
mod error_answer;
mod in_flight;
mod keep_claims;
mod live_attempts;
mod live_claims;
mod outcome;
mod retry_budget;
mod run;
mod run_event;

pub use attempt::Produced;
pub use call::Call;
pub use call_error::CallError;
pub use caller_key::{CallerKey, is_key_name};
pub use complete::{complete, read_body};
pub use completion_format::CompletionFormat;
pub use completion_request::{CompletionRequest, Interface};
pub use error_answer::{ErrorAnswer, OUTCOME_HEADER, error_response, json_response};
pub use in_flight::{InFlight, InFlightGuard};
pub use keep_claims::keep_claims;
pub use live_attempts::{LiveAttempt, LiveAttempts};
pub use live_claims::LiveClaims;
pub use outcome::Outcome;
pub use retry_budget::RetryBudget;
pub use run::MAX_CRASHES;
pub use run_event::RunEvent;
