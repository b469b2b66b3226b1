//! The request's path: authentication, admission, prefill, decode, resumption, answer.

mod attempt;
mod call;
mod call_error;
mod caller_key;
mod charge;
mod claim;
mod cleanup;
mod complete;
mod completion_format;
mod completion_request;
mod error_answer;
mod in_flight;
mod live_attempts;
mod outcome;
mod prefill;
mod retry_budget;
mod run;
mod run_event;
mod spread;

pub use attempt::Produced;
pub use call::Call;
pub use call_error::CallError;
pub use caller_key::{CallerKey, is_key_name};
pub use complete::{complete, read_body};
pub use completion_format::CompletionFormat;
pub use completion_request::{CompletionRequest, Interface};
pub use error_answer::{ErrorAnswer, OUTCOME_HEADER, error_response, json_response};
pub use in_flight::{InFlight, InFlightGuard};
pub use live_attempts::{LiveAttempt, LiveAttempts};
pub use outcome::Outcome;
pub use retry_budget::RetryBudget;
pub use run::MAX_CRASHES;
pub use run_event::RunEvent;
